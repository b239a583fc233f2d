"""Stops new connections to a listening socket while it is still open."""

from __future__ import annotations

import ctypes
import logging
import socket
import struct
import sys

logger = logging.getLogger(__name__)

# Of <asm-generic/socket.h> and <linux/bpf_common.h>; `socket` lacks them.
_SO_ATTACH_FILTER = 26
_BPF_RETURN = 0x06
_INSTRUCTION = struct.Struct("HBBI")
_PROGRAM = struct.Struct("HP")


def shut(listening: socket.socket) -> None:
    """Lets no further handshake complete; queued connections stay.

    On Linux a packet filter drops what arrives at the socket, so that a
    caller's handshake is neither completed nor refused until it is closed.
    Elsewhere the queue shrinks to its least, which leaves room for one.
    """
    listening.listen(0)
    if sys.platform != "linux":
        return
    drop_all = ctypes.create_string_buffer(
        _INSTRUCTION.pack(_BPF_RETURN, 0, 0, 0)
    )
    program = _PROGRAM.pack(1, ctypes.addressof(drop_all))
    try:
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.warning("no filter on the listening socket: %s", error)
