"""Memory of a store's record of one stored block, without its content.

Run: python -m benchmarks.kept_memory
"""

from __future__ import annotations

import json

from benchmarks import resident_memory
from cactusstile import tokens
from cactusstile.store import block_store
from cactusstile.store import blocks

BLOCK_COUNTS = (10_000, 50_000, 100_000)
BLOCKS_IN_PROMPT = 100
CONTENT = b"state"
MEMORY_BYTES = 1 << 40


def _store_prompt(stored_blocks: block_store.BlockStore, prompt: int) -> None:
    scope = tokens.Scope("bank", "chat", "v1")
    prompt_tokens = [prompt] * (BLOCKS_IN_PROMPT * tokens.BLOCK_TOKENS)
    parent = b""
    for position, key in enumerate(tokens.block_keys(scope, prompt_tokens)):
        checksum = blocks.checksum(scope, key, CONTENT)
        block = blocks.Block(key, parent, position, CONTENT, checksum)
        stored_blocks.keep(scope, block)
        parent = key


def main() -> None:
    """Prints one line for each number of blocks."""
    for count in BLOCK_COUNTS:
        before = resident_memory.resident_bytes()
        stored_blocks = block_store.BlockStore(
            block_store.Bounds(MEMORY_BYTES, 0), lambda: 0.0
        )
        for prompt in range(count // BLOCKS_IN_PROMPT):
            _store_prompt(stored_blocks, prompt)
        used = resident_memory.resident_bytes() - before
        print(json.dumps({"blocks": count, "bytes_per_block": used / count}))
        del stored_blocks


if __name__ == "__main__":
    main()
