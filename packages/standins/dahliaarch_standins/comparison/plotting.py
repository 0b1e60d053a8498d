"""Plots of comparisons."""

from collections.abc import Sequence
from pathlib import Path

from .ablation import Effect

# Height of one row of a plot and width of the figure, in inches.
_ROW_IN = 0.35
_WIDTH_IN = 8.0


def plot_effects(effects: Sequence[Effect], path: Path) -> None:
    """Plot the gain of each mechanism with its margin, one column per deployment."""
    # The plotting library takes a second to import.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    deployments = list(dict.fromkeys(effect.deployment for effect in effects))
    mechanisms = list(dict.fromkeys(effect.mechanism for effect in effects))
    figure = Figure(figsize=(_WIDTH_IN, 1.0 + _ROW_IN * len(mechanisms)), layout='constrained')
    FigureCanvasAgg(figure)
    axes = figure.subplots(1, len(deployments), sharey=True, squeeze=False)[0]
    for axis, deployment in zip(axes, deployments, strict=True):
        shown = [effect for effect in effects if effect.deployment == deployment]
        axis.errorbar(
            [effect.gain for effect in shown],
            [mechanisms.index(effect.mechanism) for effect in shown],
            xerr=[effect.margin for effect in shown],
            fmt='o',
        )
        axis.axvline(0.0, color='grey', linewidth=0.5)
        axis.set_title(deployment)
        axis.set_xlabel('gain')
    axes[0].set_yticks(range(len(mechanisms)), mechanisms)
    axes[0].invert_yaxis()
    figure.savefig(path)
