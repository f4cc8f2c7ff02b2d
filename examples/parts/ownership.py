"""Shows two processes that claim one resource; the first in the log wins."""

import trio

from pimentocross.contracts.authority import Authority, Timing
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.ownership import MemberJoined, OwnershipState
from pimentocross.standins.log import LogStandin


async def main() -> None:
    """Claims the resource from both processes and prints which may act."""
    log = LogStandin()
    async with trio.open_nursery() as nursery:
        sides = []
        for name in ("a", "b"):
            fold = StreamFold(log, "ownership", OwnershipState())
            nursery.start_soon(fold.run)
            nursery.start_soon(fold.run_writer)
            sides.append(Authority(fold, name, Timing()))
        for side in sides:
            member = MemberJoined(side.process, side.process, "", "zone")
            await side.join(member, timeout=5.0)
        first, second = sides
        # Earlier members acknowledge each later one by direct message.
        if first.acknowledge(second.process):
            second.note_acknowledged_by(first.process)
        outcomes: list[str] = []

        async def claim(side: Authority) -> None:
            verdict = await side.claim("shelf", timeout=5.0)
            outcomes.append(verdict.outcome.value)

        async with trio.open_nursery() as race:
            for side in sides:
                race.start_soon(claim, side)
        print("two claims at once:", sorted(outcomes))
        await second.fold.wait_position(first.fold.position)
        acting = [side.may_act("shelf") for side in sides]
        print("may act:", sorted(acting))
        print("epoch, the fencing token:", first.epoch("shelf"))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
