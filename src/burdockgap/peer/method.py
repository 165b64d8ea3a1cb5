"""The gRPC methods that a daemon offers to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.ownership.messages.activation_report import (
    ActivationReport,
)
from burdockgap.ownership.messages.release import Release
from burdockgap.ownership.messages.released import Released
from burdockgap.peer.messages.body_part import BodyPart
from burdockgap.peer.messages.done import Done
from burdockgap.peer.messages.forward_head import ForwardHead
from burdockgap.peer.messages.heard import Heard
from burdockgap.peer.messages.join import Join
from burdockgap.peer.messages.leave import Leave
from burdockgap.peer.messages.load_report import LoadReport
from burdockgap.peer.messages.ping import Ping
from burdockgap.peer.messages.pull import Pull
from burdockgap.peer.messages.pulled import Pulled
from burdockgap.peer.messages.reply_head import ReplyHead
from burdockgap.peer.messages.reply_refusal import ReplyRefusal

if TYPE_CHECKING:
    from burdockgap.wire import Message


class Method:
    """
    A unary gRPC method.

    :param path: the gRPC path.
    :param request: type of the request.
    :param reply: type of the reply.
    """

    __slots__ = ("path", "reply", "request")

    def __init__(
        self, path: str, request: type[Message], reply: type[Message]
    ) -> None:
        self.path = path
        self.request = request
        self.reply = reply


JOIN = Method("/burdockgap.Peer/Join", Join, Done)
LEAVE = Method("/burdockgap.Peer/Leave", Leave, Done)
ACTIVATION = Method("/burdockgap.Peer/Activation", ActivationReport, Done)
LOAD = Method("/burdockgap.Peer/Load", LoadReport, Done)
RELEASE = Method("/burdockgap.Peer/Release", Release, Released)
PULL = Method("/burdockgap.Peer/Pull", Pull, Pulled)
HEARD = Method("/burdockgap.Peer/Heard", Heard, Done)
PING = Method("/burdockgap.Peer/Ping", Ping, Done)

FORWARD_PATH = "/burdockgap.Peer/Forward"
FORWARD_REQUEST: Any = (ForwardHead, BodyPart)
FORWARD_REPLY: Any = (ReplyHead, ReplyRefusal, BodyPart)
