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
_BPF_LOAD_BYTE = 0x30
_BPF_JUMP_IF_SET = 0x45
_BPF_RETURN = 0x06
_BPF_INSTRUCTION = struct.Struct("HBBI")
_BPF_PROGRAM = struct.Struct("HP")
_TCP_FLAGS_OFFSET = 13
_TCP_SYN = 0x02
_WHOLE_PACKET = 0xFFFFFFFF
# Drops the first packet of a handshake and passes all others. The operands of
# an instruction are the jumps if true and if false, and the constant.
_DROP_SYN = (
    (_BPF_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
    (_BPF_JUMP_IF_SET, 0, 1, _TCP_SYN),
    (_BPF_RETURN, 0, 0, 0),
    (_BPF_RETURN, 0, 0, _WHOLE_PACKET),
)


def block_new_connections(listening: socket.socket) -> None:
    """Prevents further handshakes; those that have begun are completed.

    On Linux a packet filter drops the first packet of each handshake, so that
    new ones are neither completed nor refused until the socket is closed. On
    other systems the accept queue is reduced to its minimum size, which still
    admits one connection.
    """
    if sys.platform != "linux":
        listening.listen(0)
        return
    instructions = b"".join(_BPF_INSTRUCTION.pack(*one) for one in _DROP_SYN)
    code = ctypes.create_string_buffer(instructions)
    program = _BPF_PROGRAM.pack(len(_DROP_SYN), ctypes.addressof(code))
    try:
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as error:
        listening.listen(0)
        logger.warning(
            "cannot attach a packet filter to the listening socket: %s", error
        )
