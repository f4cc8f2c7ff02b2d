"""Each rule of the owner is needed.

Each test disables one rule and checks that random faults then break one of the
guarantees of `test_owner_chaos`.
"""

from collections.abc import Sequence
from unittest import mock

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner import const, endings, keeper, ledger, orders
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.work import records
from pimentocross.work.crash_history import Crash, CrashHistory
from pimentocross.work.state import Job, Run, RunState, Task
from tests import run_virtual
from tests.test_owner_chaos import run_history

_SEEDS: Sequence[int] = range(40)
# Seeds of histories in which a start arrives after its run was given up.
_LATE_SEEDS: Sequence[int] = (71, 124, 159)


def _assert_breaks_within_seeds(
    rule: str,
    *,
    restarts: bool = False,
    frequent_restarts: bool = False,
    report_born: bool = True,
    seeds: Sequence[int] = _SEEDS,
) -> None:
    for seed in seeds:
        try:
            run_virtual(
                lambda s=seed: run_history(  # type: ignore[misc]
                    s,
                    restarts=restarts,
                    frequent_restarts=frequent_restarts,
                    report_born=report_born,
                ),
                seed,
            )
        except AssertionError:
            return
    raise AssertionError(f"{rule} was left out and nothing broke")


def test_leases_are_waited_for() -> None:
    def never_waits(self: Worker, now: float) -> bool:
        return not self.reachable

    with mock.patch.object(Worker, "lapsed", never_waits):
        _assert_breaks_within_seeds("waiting for leases")


def test_an_unanswered_start_is_stopped_before_it_goes_elsewhere() -> None:
    def mark_stopped(
        self: orders.Orders, task: Task, run: Run, reason: str
    ) -> None:
        run.enter(RunState.STOPPING, 0.0)
        run.stopped_at = 0.001

    # Two other rules protect against this fault: the validity of a start, which
    # is therefore made long, and waiting until the start can't arrive late,
    # which needs workers that report when they were born.
    with mock.patch.object(orders.Orders, "_on_unanswered", mark_stopped):
        with mock.patch.object(const, "START_VALIDITY", 15.0):
            _assert_breaks_within_seeds(
                "stopping unanswered starts", report_born=False
            )


def test_endings_are_recorded_before_they_are_noted() -> None:
    real = keeper.LeaseKeeper._note_endings

    async def without_waiting(
        self: keeper.LeaseKeeper, newest: int, batch: object
    ) -> None:
        self._worker.newest_stored_ending = max(
            self._worker.newest_stored_ending, newest
        )
        await real(self, newest, None)

    with mock.patch.object(
        keeper.LeaseKeeper, "_note_endings", without_waiting
    ):
        with mock.patch.object(const, "BATCH_PAUSE", 1.5):
            _assert_breaks_within_seeds("recording before noting")


def test_starts_are_recorded_before_they_are_sent() -> None:
    async def without_waiting(
        self: orders.Orders,
        placements: list[orders.Placement],
        batch: ledger.Batch,
    ) -> None:
        for placement in placements:
            self._nursery.start_soon(self._start, placement)

    with mock.patch.object(orders.Orders, "_start_all", without_waiting):
        with mock.patch.object(const, "BATCH_PAUSE", 1.5):
            _assert_breaks_within_seeds("recording before sending")


def test_a_failure_is_counted_once() -> None:
    def count_always(task: Task, run: Run | None, worker: Worker) -> None:
        task.failures += 1

    with mock.patch.object(endings, "_count_failure", count_always):
        _assert_breaks_within_seeds("counting a failure once")


def test_crashes_are_counted_against_tasks() -> None:
    def never_gives_up(
        self: CrashHistory, crash: Crash, *, lasting: bool
    ) -> bool:
        return False

    with mock.patch.object(CrashHistory, "gives_up", never_gives_up):
        _assert_breaks_within_seeds("giving up tasks that crash their workers")


def test_crashes_are_counted_on_by_a_successor() -> None:
    def ignore(job: Job, value: bytes) -> None:
        pass

    with mock.patch.object(records, "decode_crashes", ignore):
        _assert_breaks_within_seeds("reading what crashes say of a task")


def test_lives_of_one_id_are_told_apart() -> None:
    def always_false(self: object, *_: object) -> bool:
        return False

    with mock.patch.object(WorkerLife, "is_after", always_false):
        with mock.patch.object(Roster, "note_born", always_false):
            _assert_breaks_within_seeds(
                "telling lives apart", restarts=True, frequent_restarts=True
            )


def test_late_starts_hold_their_tasks() -> None:
    def do_nothing(
        self: LateStarts, task: Task, run: Run, worker: Worker | None
    ) -> None:
        pass

    with mock.patch.object(LateStarts, "hold", do_nothing):
        _assert_breaks_within_seeds(
            "holding late starts", restarts=True, seeds=_LATE_SEEDS
        )
