"""In-memory stand-in for the platform's store."""

import base64
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import msgspec

from dahliaarch_platform.http import HttpServer, Request, Response
from dahliaarch_platform.settings import Address

from .faults import Faults

_MS = 1000.0
# Maximum number of items, or of updates, in one response.
_MAX_PAGE_ITEMS = 500


class StoreStandIn:
    """Key-value store with revisions, leases, watches and transactions.

    Parameters
    ----------
    faults : Faults
        Faults to inject.
    """

    def __init__(self, faults: Faults | None = None) -> None:
        """Initialize an empty store."""
        self.faults = faults or Faults()
        self.calls = 0
        # Safeguard that control arms disable.
        self.checks_conditions = True
        # Watches with this prefix report no updates.
        self.muted_prefix = ''
        self.revision = 0
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._history: deque[dict[str, Any]] = deque(maxlen=50_000)
        self._oldest_watchable = 0
        self._change_event = anyio.Event()
        self._lease_ends: dict[int, tuple[float, float]] = {}
        self._lease_count = 0
        self.server = HttpServer(self._handle_request, max_body_bytes=4 * 1024 * 1024)

    async def listen(self) -> Address:
        """Listen on a free port of the loopback address."""
        await self.server.listen(Address('127.0.0.1', 0))
        return Address('127.0.0.1', self.server.port)

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await anyio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (end_s, _) in tuple(self._lease_ends.items()):
                if end_s < now_s:
                    self._end_lease(lease)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key under a new revision, as the operator or a worker does."""
        self.revision += 1
        return self._put(key, value, lease)

    def _put(self, key: str, value: bytes, lease: int) -> int:
        """Write a key under the current revision."""
        existing = self._item_by_key.get(key)
        item = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Revision': self.revision,
            'Created': existing['Created'] if existing else self.revision,
            'Lease': lease,
        }
        self._item_by_key[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key under a new revision."""
        if key in self._item_by_key:
            self.revision += 1
            self._remove(key)

    def _remove(self, key: str) -> None:
        """Remove a key under the current revision."""
        if self._item_by_key.pop(key, None) is not None:
            self._record({'Key': key, 'Revision': self.revision, 'Removed': True})

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None if the key does not exist."""
        item = self._item_by_key.get(key)
        return None if item is None else base64.b64decode(item['Value'])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that start with a prefix, sorted."""
        return sorted(key for key in self._item_by_key if key.startswith(prefix))

    def discard_history(self) -> None:
        """Discard the history: watches from an earlier revision get status 410."""
        self._history.clear()
        self._oldest_watchable = self.revision
        self._notify_watchers()

    async def _handle_request(self, request: Request) -> Response:
        self.calls += 1
        refusal = await self.faults.before(request)
        if refusal is not None:
            return refusal
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        step = _call_label(request, parts.path, query)
        self.faults.observe(step, is_done=False)
        response = await self._dispatch(request, parts.path, query)
        self.faults.observe(step, is_done=True)
        return response

    async def _dispatch(self, request: Request, path: str, query: dict[str, str]) -> Response:
        match (request.method, path):
            case ('GET', '/kv-key'):
                return self._get(query['Key'])
            case ('GET', '/kv-range'):
                return self._range(query)
            case ('GET', '/kv-watch'):
                return await self._watch(query)
            case ('POST', '/kv-txn'):
                return await self._handle_transaction(request)
            case ('POST', '/kv-lease'):
                return self._grant_lease(request)
        name, _, number = path.strip('/').partition('/')
        if name == 'kv-keep':
            return self._renew_lease(int(number))
        if name == 'kv-lease-end':
            self._end_lease(int(number))
            return Response(200)
        return Response(404)

    async def _handle_transaction(self, request: Request) -> Response:
        """Apply a transaction, whose response may be lost and which may be applied late."""
        if self.faults.loses():
            if self.faults.late_s:
                await anyio.sleep(self.faults.late_s)
            self._apply_transaction(request)
            return await self.faults.lose()
        return self._apply_transaction(request)

    def _get(self, key: str) -> Response:
        item = self._item_by_key.get(key)
        if item is None:
            return Response(404)
        return _json(item | {'StoreRevision': self.revision})

    def _range(self, query: dict[str, str]) -> Response:
        after = query.get('After', '')
        keys = [key for key in self.keys(query['PathPrefix']) if key > after]
        items = [self._item_by_key[key] for key in keys[:_MAX_PAGE_ITEMS]]
        return _json({'items': items, 'Truncated': len(keys) > _MAX_PAGE_ITEMS, 'StoreRevision': self.revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query['After'])
        with anyio.move_on_after(int(query['WaitMs']) / _MS):
            while True:
                if after < self._oldest_watchable:
                    return Response(410)
                changed = self._change_event
                prefix = query['PathPrefix']
                events = [each for each in self._history if each['Revision'] > after and each['Key'].startswith(prefix)]
                if events and prefix != self.muted_prefix:
                    page = events[:_MAX_PAGE_ITEMS]
                    last = self.revision if len(page) == len(events) else page[-1]['Revision']
                    return _json({'events': page, 'StoreRevision': last})
                await changed.wait()
        return _json({'events': [], 'StoreRevision': self.revision})

    def _apply_transaction(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        conditions = body.get('ExpectedRev', ())
        for row in conditions:
            item = self._item_by_key.get(row['Key'])
            if self.checks_conditions and (item['Revision'] if item else 0) != row['Revision']:
                current_items = [
                    self._item_by_key[each['Key']] for each in conditions if each['Key'] in self._item_by_key
                ]
                return _json({'items': current_items}, 412)
        writes = body.get('Writes', ())
        if any(row.get('Lease') and row['Lease'] not in self._lease_ends for row in writes):
            return Response(404)
        # All changes of a transaction share one revision.
        self.revision += 1
        for row in writes:
            self._put(row['Key'], base64.b64decode(row['Value']), row.get('Lease', 0))
        for key in body.get('Remove', ()):
            self._remove(key)
        return _json({'Revision': self.revision})

    def _grant_lease(self, request: Request) -> Response:
        ttl_s = msgspec.json.decode(request.body)['TtlMs'] / _MS
        self._lease_count += 1
        self._lease_ends[self._lease_count] = (time.monotonic() + ttl_s, ttl_s)
        return _json({'Lease': self._lease_count, 'TtlMs': int(ttl_s * _MS)})

    def _renew_lease(self, lease: int) -> Response:
        if lease not in self._lease_ends:
            return Response(404)
        _, ttl_s = self._lease_ends[lease]
        self._lease_ends[lease] = (time.monotonic() + ttl_s, ttl_s)
        return _json({'TtlMs': int(ttl_s * _MS)})

    def _end_lease(self, lease: int) -> None:
        self._lease_ends.pop(lease, None)
        for key, item in tuple(self._item_by_key.items()):
            if item['Lease'] == lease:
                self.remove(key)

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        changed, self._change_event = self._change_event, anyio.Event()
        changed.set()


def _call_label(request: Request, path: str, query: dict[str, str]) -> str:
    """Return a label of a call: its operation and the kind of key that it concerns."""
    if path != '/kv-txn':
        key = query.get('Key') or query.get('PathPrefix', '')
        return f'{path.strip("/").split("/")[0]} {_key_kind(key)}'.strip()
    body = msgspec.json.decode(request.body)
    keys = [row['Key'] for row in body.get('Writes', ())] + list(body.get('Remove', ()))
    return f'kv-txn {_key_kind(keys[0]) if keys else ""}'.strip()


def _key_kind(key: str) -> str:
    """Return the part of a key that identifies the kind of its record."""
    kind = key.removeprefix('dahliaarch/').split('/')[0]
    return 'cancel' if key.endswith('.cancel') else kind


def _json(fields: dict[str, Any], status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(fields))
