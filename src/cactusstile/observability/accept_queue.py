"""Blocks new connections to a listening socket before it is closed."""

from __future__ import annotations

import ctypes
import logging
import socket
import struct
import sys

logger = logging.getLogger(__name__)

# From <asm-generic/socket.h> and <linux/bpf_common.h>; the socket module has
# no names for them.
_SO_ATTACH_FILTER = 26
_BPF_RETURN = 0x06
_BPF_INSTRUCTION = struct.Struct("HBBI")
_BPF_PROGRAM = struct.Struct("HP")


def block_new_connections(listening: socket.socket) -> None:
    """Prevents further handshakes; connections in the accept queue remain.

    On Linux a packet filter drops all packets that arrive at the listening
    socket, so that new handshakes are neither completed nor refused until the
    socket is closed. On other systems the accept queue is reduced to its
    minimum size, which still admits one connection.
    """
    listening.listen(0)
    if sys.platform != "linux":
        return
    drop_all = ctypes.create_string_buffer(
        _BPF_INSTRUCTION.pack(_BPF_RETURN, 0, 0, 0)
    )
    program = _BPF_PROGRAM.pack(1, ctypes.addressof(drop_all))
    try:
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.warning(
            "cannot attach a packet filter to the listening socket: %s", error
        )
