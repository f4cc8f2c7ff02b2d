"""Shows two readers that build the same state from one stream."""

import trio

from pimentocross.backing.log import RecordBody
from pimentocross.contracts.fold import StreamFold
from pimentocross.standins.log import LogStandin


class Stock:
    """Stock of each article; rejects changes that would make it negative."""

    def __init__(self) -> None:
        """Initializes an empty stock."""
        self.pieces: dict[str, int] = {}

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Applies one record; returns why it is rejected, or None."""
        left = self.pieces.get(body["article"], 0) + body["change"]
        if left < 0:
            return "not enough pieces"
        self.pieces[body["article"]] = left
        return None

    def dump(self) -> RecordBody:
        """Returns the whole state."""
        return {"pieces": dict(self.pieces)}

    def load(self, dump: RecordBody) -> None:
        """Replaces the state by a dump."""
        self.pieces = dict(dump["pieces"])


async def main() -> None:
    """Publishes changes with one fold and reads the stock with another."""
    log = LogStandin()
    writer = StreamFold(log, "stock", Stock())
    reader = StreamFold(log, "stock", Stock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        nursery.start_soon(writer.run_writer)
        nursery.start_soon(reader.run)
        for change in (5, -3, -4):
            body = {"kind": "change", "article": "kite", "change": change}
            verdict = await writer.publish(body, timeout=5.0)
            print(change, verdict.outcome.value, verdict.reason)
        await reader.wait_position(writer.position)
        print("reader sees", reader.state.pieces)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
