"""Stored and sent forms of records: MessagePack, checked against their types."""

from typing import TypeVar

import msgspec

from .errors import ProtocolError

Record = TypeVar('Record')


def encode(record: object) -> bytes:
    """Return the form of a record that is stored or sent."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes, record_type: type[Record], description: str) -> Record:
    """Return a record from its form.

    Parameters
    ----------
    value : bytes
        The form.
    kind : type
        Type of the record.
    what : str
        What it is called in an error.

    Raises
    ------
    ProtocolError
        When the value is not a record of that type.
    """
    try:
        return msgspec.msgpack.decode(value, type=record_type)
    except msgspec.DecodeError as error:
        raise ProtocolError(description, str(error)) from error
