"""Compares the scheduler's decisions with baselines under a fake clock."""

from .ablation import ablate, Effect
from .core import compare, Comparison
from .deployments import DEPLOYMENTS
from .drawing import draw_deployment, DRAWN, DRAWN_LOADED
from .gap import Gap, gap_on
from .losses import Loss
from .plotting import plot_effects

__all__ = (
    'Comparison',
    'DEPLOYMENTS',
    'DRAWN',
    'DRAWN_LOADED',
    'Effect',
    'Gap',
    'Loss',
    'ablate',
    'compare',
    'draw_deployment',
    'gap_on',
    'plot_effects',
)
