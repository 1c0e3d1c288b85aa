"""MessagePack codec of the messages."""

import msgspec
from result import Err, Ok, Result

from teaselpath.results import Code, Failure
from teaselpath.wire import _messages as m

Message = (
    m.Probe
    | m.ProbeReply
    | m.Start
    | m.Refused
    | m.Chunk
    | m.End
    | m.Ack
    | m.Cancel
    | m.Cancelled
    | m.Resume
    | m.Gossip
    | m.ConfigPull
    | m.ConfigPush
    | m.Revocation
    | m.QuotaAsk
    | m.QuotaTransfer
    | m.QuotaReceipt
    | m.QuotaReserve
    | m.QuotaGrant
    | m.QuotaSettle
    | m.TraceCopy
    | m.Control
    | m.ControlReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Result[Message, Failure]:
    """Decode and validate a message.

    :returns: the message, or MALFORMED_MESSAGE for anything else.
    """
    try:
        return Ok(_decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(Failure(Code.MALFORMED_MESSAGE, str(error)))
