"""Follows the operators' requests to evacuate failure domains."""

from collections.abc import Iterable
from typing import NamedTuple

from dahliaarch_platform.operators import evacuated_domain, EVACUATIONS_PREFIX
from dahliaarch_platform.store import Item, Page

from ..watching import next_updates
from .feeds import FeedContext, follow
from .messages import EvacuationsChanged


class _Request(NamedTuple):
    """Latest change of the key of one failure domain: its store revision, and whether the key exists since then."""

    revision: int
    exists: bool


class EvacuationsFeed:
    """Merges what the store reports about evacuations, and posts the evacuated failure domains when they change.

    Reports come from a complete listing, from a watch and from the conditions of failed
    transactions, and overtake each other. For each domain the one with the highest store
    revision is the latest.

    Only the owner follows these keys, by a watch of its own. A watch that also covers the
    configuration would receive each of its versions, of up to a megabyte, once more after a
    peer had delivered it.

    Parameters
    ----------
    feed : FeedContext
        Store, timing and message queue.
    """

    def __init__(self, feed: FeedContext) -> None:
        """Start without a known evacuation."""
        self._feed = feed
        self._request_by_domain: dict[str, _Request] = {}
        self._posted: frozenset[str] = frozenset()

    def record_listing(self, page: Page) -> None:
        """Apply a complete listing: a domain without a key is not evacuated at the revision of the listing."""
        listed = {item.key for item in page.items}
        self._request_by_domain = {
            domain: request
            for domain, request in self._request_by_domain.items()
            if EVACUATIONS_PREFIX + domain in listed or request.revision > page.revision
        }
        self.record_items(page.items)

    def record_items(self, items: Iterable[Item]) -> None:
        """Apply writes and removals of keys; other keys and older changes are ignored."""
        for item in items:
            domain = evacuated_domain(item.key)
            if domain is None:
                continue
            known = self._request_by_domain.get(domain)
            if known is None or known.revision < item.revision:
                self._request_by_domain[domain] = _Request(item.revision, exists=not item.removed)
        self._post_if_changed()

    async def run(self, revision: int) -> None:
        """Follow the changes after a revision, until cancelled."""
        await follow(self._feed, self._watch, revision, 'evacuations_unreachable')

    async def _watch(self, revision: int) -> int:
        updates = await next_updates(self._feed.store, self._feed.timing, EVACUATIONS_PREFIX, revision)
        if updates.is_snapshot:
            self.record_listing(updates.page)
            return updates.page.revision
        self.record_items(updates.page.items)
        return max(revision, updates.page.revision)

    def _post_if_changed(self) -> None:
        domains = frozenset(domain for domain, request in self._request_by_domain.items() if request.exists)
        if domains != self._posted:
            self._posted = domains
            self._feed.post(EvacuationsChanged(domains))
