"""A network link of limited bandwidth."""

from typing import Final

import trio

from pimentocross.contracts.progress import AnswerProgress

# Bytes that one transfer gets on the link before the next one has its turn.
_CHUNK: Final = 16 * 1024


class LinkStandin:
    """One direction of a link, shared equally by concurrent transfers."""

    def __init__(self) -> None:
        """Initializes an idle link."""
        self._turn = trio.Lock()

    async def transfer(
        self,
        size: float,
        bytes_per_s: float | None,
        progress: AnswerProgress | None = None,
    ) -> None:
        """Waits while bytes pass over the link.

        Args:
            size: Number of bytes.
            bytes_per_s: What the link carries, or None if without limit.
            progress: Counts the bytes that have passed.
        """
        if bytes_per_s is None:
            return
        while size > 0:
            chunk = min(size, _CHUNK)
            async with self._turn:
                await trio.sleep(chunk / bytes_per_s)
            size -= chunk
            if progress is not None:
                progress.note_received(int(chunk))
