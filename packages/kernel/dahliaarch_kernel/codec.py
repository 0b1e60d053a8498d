"""MessagePack serialization of records, with type validation on decoding."""

from typing import TypeVar

import msgspec

from .errors import ProtocolError

Record = TypeVar('Record')


def encode(record: object) -> bytes:
    """Serialize a record for storage or transmission."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes, record_type: type[Record], description: str) -> Record:
    """Deserialize a record and validate it against its type.

    Parameters
    ----------
    value : bytes
        Serialized record.
    record_type : type
        Expected type of the record.
    description : str
        Name of the record in error messages.

    Raises
    ------
    ProtocolError
        If the value is not a valid record of that type.
    """
    try:
        return msgspec.msgpack.decode(value, type=record_type)
    except msgspec.DecodeError as error:
        raise ProtocolError(description, str(error)) from error
