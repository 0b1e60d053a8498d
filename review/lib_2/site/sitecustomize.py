"""Leads the connections that a daemon opens through the proxies of a case; the daemon itself is as it is.

`REVIEW_NETWORK` is the number of the machine. A connection to 127.0.0.X goes to 127.1.NUMBER.X, where a proxy
listens on the same port, so that a case can cut the path from one machine to another.
"""

import asyncio.base_events
import os

NUMBER = os.environ.get('REVIEW_NETWORK')


def mapped(host):
    return host.replace('127.0.0.', f'127.1.{NUMBER}.', 1) if host.startswith('127.0.0.') else host


def lead_through_proxies():
    import zmq.asyncio

    create_connection = asyncio.base_events.BaseEventLoop.create_connection
    socket_type = zmq.asyncio.Socket
    connect, disconnect = socket_type.connect, socket_type.disconnect

    async def create_mapped_connection(self, protocol_factory, host=None, port=None, **options):
        return await create_connection(self, protocol_factory, mapped(host) if host else host, port, **options)

    def endpoint(address):
        text = address.decode() if isinstance(address, bytes) else address
        scheme, _, rest = text.partition('://')
        return f'{scheme}://{mapped(rest)}'

    asyncio.base_events.BaseEventLoop.create_connection = create_mapped_connection
    socket_type.connect = lambda self, address: connect(self, endpoint(address))
    socket_type.disconnect = lambda self, address: disconnect(self, endpoint(address))


if NUMBER:
    lead_through_proxies()
