"""Shows a graceful stop that waits for the work in flight."""

import trio

from pimentocross.contracts.drain import Drain, DrainingError


async def work(drain: Drain, seconds: float) -> None:
    """Works for some seconds, or is refused because of the drain."""
    try:
        with drain.admit():
            await trio.sleep(seconds)
            print("finished after", seconds, "s")
    except DrainingError:
        print("refused")


async def main() -> None:
    """Starts a drain while work is in flight."""
    drain = Drain()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(work, drain, 0.02)
        await trio.sleep(0.01)
        drain.begin()
        nursery.start_soon(work, drain, 0.02)
        print("left over:", await drain.finish(timeout=1.0))


if __name__ == "__main__":
    trio.run(main)
