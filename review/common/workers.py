"""A stand-in of the platform's workers, as the users' pages describe them."""

from collections.abc import Callable
import hashlib
import json
import random
from typing import Any

import trio

from pimentocross.links.asgi import HttpReply, HttpRequest

ENDS_PAGE = 500
TICK = 0.05


class Plan:
    """How the tasks of a step behave, from the submission as it was sent.

    Attributes:
        seconds: Work of a task; infinite for one that lasts.
        fails: Number of runs of each task that end `failed` first.
    """

    def __init__(
        self, step: dict[str, Any], seconds: float, fails: int
    ) -> None:
        """Initializes the plan of one step."""
        self.step = step
        self.seconds = float("inf") if step.get("long_running") else seconds
        self.fails = fails


class Run:
    """One run on a worker."""

    def __init__(
        self, order: dict[str, Any], plan: Plan, now: float, base: float
    ) -> None:
        """Initializes a run that was ordered now.

        Args:
            order: The order to start.
            plan: How the run behaves.
            now: Present time.
            base: Seconds of work that its checkpoint stands for.
        """
        self.task: str = order["task"]
        self.number: int = order["run_id"]
        self.saved: str = order.get("checkpoint", "")
        self.plan = plan
        self.began = now
        # Since when it works: a member of a gang waits for the others.
        self.works_since = None if plan.step.get("gang") else now
        self.base = base
        self.saves = 0

    def worked(self, now: float) -> float:
        """Returns for how many seconds it has worked."""
        return 0.0 if self.works_since is None else now - self.works_since

    @property
    def group(self) -> tuple[str, int]:
        """The step and the number that the members of a gang share."""
        return self.task.rpartition(".")[0], self.number


class Workers:
    """All workers of a script, and what they were told and did.

    Attributes:
        events: Time, kind and fields of all that happened.
        saved: Progress, in seconds of work, by checkpoint.
    """

    def __init__(
        self,
        plan_of: Callable[[str], Plan | None],
        bounds: dict[str, float],
        note: Callable[..., None],
    ) -> None:
        """Initializes the workers.

        Args:
            plan_of: Returns the plan of a task by name.
            bounds: The bounds of the settings.
            note: Takes down what happens.
        """
        self.plan_of = plan_of
        self.bounds = bounds
        self.note = note
        self.alive: dict[str, Worker] = {}
        self.saved: dict[str, float] = {}
        self.groups: dict[tuple[str, int], set[Run]] = {}
        self.failures: dict[str, int] = {}

    def begin_gangs(self) -> None:
        """Lets the gangs work of which all members are present."""
        for members in self.groups.values():
            some = next(iter(members))
            if some.works_since is None and len(members) == some.plan.step.get(
                "count", 1
            ):
                for member in members:
                    member.works_since = trio.current_time()

    async def run(self) -> None:
        """Moves all workers on, forever."""
        while True:
            self.begin_gangs()
            for worker in list(self.alive.values()):
                worker.advance()
            await trio.sleep(TICK)


class Worker:
    """One life of a worker."""

    def __init__(
        self, world: Workers, life: str, entry: dict[str, Any]
    ) -> None:
        """Initializes a worker without runs."""
        self.world = world
        self.life = life
        self.entry = entry
        self.dead = False
        self._clock_offset = random.uniform(0.0, 10.0) - trio.current_time()
        self._token = 0
        self._lease_end = 0.0
        self._runs: dict[str, Run] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._ended = trio.Event()
        self._end_count = 0
        self._used = [0, 0, 0]
        world.alive[life] = self

    def clock(self) -> float:
        """Returns its steady clock in milliseconds."""
        return (trio.current_time() + self._clock_offset) * 1000

    def crash(self) -> None:
        """Ends this life at once, with all that runs."""
        self.dead = True
        self.world.alive.pop(self.life, None)
        runs = list(self._runs.values())
        self._runs.clear()
        self.world.note("crash", worker=self.life, runs=len(runs))
        for run in runs:
            self.world.note(
                "lost", worker=self.life, task=run.task, run=run.number
            )
        for run in runs:
            self._break_gang(run)

    def advance(self) -> None:
        """Moves the runs on, and ends those that are over."""
        now = trio.current_time()
        lapsed = self.clock() >= self._lease_end
        for run in list(self._runs.values()):
            if run.task not in self._runs:
                # It ended with another member of its gang.
                continue
            if lapsed:
                self._end(run, "lapsed")
            elif run.works_since is None:
                wait = self.world.bounds["gang_timeout_ms"] / 1000
                if now - run.began > wait:
                    self._end(run, "alone")
            else:
                self._work(run, now)

    def _work(self, run: Run, now: float) -> None:
        every = self.world.bounds["checkpoint_s"]
        saves = run.plan.step.get("checkpointing")
        if saves and run.worked(now) > (run.saves + 1) * every:
            self._save(run, now)
        if run.base + run.worked(now) < run.plan.seconds:
            return
        failures = self.world.failures
        failed = failures.get(run.task, 0) < run.plan.fails
        if failed:
            failures[run.task] = failures.get(run.task, 0) + 1
        self._end(run, "failed" if failed else "done")

    def _save(self, run: Run, now: float) -> None:
        run.saves += 1
        done = run.base + run.worked(now)
        text = f"{self.life} {run.task} {run.number} {run.saves} {done}"
        run.saved = hashlib.md5(text.encode()).hexdigest()[:16]
        self.world.saved[run.saved] = done

    def _end(self, run: Run, how: str) -> None:
        if self._runs.pop(run.task, None) is None:
            return
        saves = run.plan.step.get("checkpointing")
        if how == "stopped" and saves and run.works_since is not None:
            self._save(run, trio.current_time())
        self._count(run, -1)
        self._end_count += 1
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._ends.append(
            [self._end_count, run.task, run.number, how, run.saved]
        )
        self.world.note(
            "end", worker=self.life, task=run.task, run=run.number, how=how
        )
        self._ended.set()
        self._ended = trio.Event()
        self._break_gang(run, how)

    def _break_gang(self, run: Run, how: str = "lost") -> None:
        members = self.world.groups.get(run.group)
        if members is None:
            return
        members.discard(run)
        if not members:
            del self.world.groups[run.group]
        if how == "alone":
            return
        for worker in list(self.world.alive.values()):
            for other in list(worker._runs.values()):
                if other in members:
                    if how == "done":
                        worker._end(other, "done")
                    elif other.works_since is not None:
                        worker._end(other, "broken")

    def _count(self, run: Run, sign: int) -> None:
        step = run.plan.step
        cpu = 0 if step.get("fill_count") else step.get("cpu", 0)
        self._used[0] += sign * cpu
        self._used[1] += sign * step.get("mem_mb", 0)
        self._used[2] += sign * step.get("gpus", 0)

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answers one call."""
        if self.dead or request.header(b"x-expected-instance") not in (
            "",
            self.life,
        ):
            return self._reply(421, {})
        body = json.loads(request.body)
        if body["fencing_token"] < self._token:
            return self._refuse("fence")
        self._token = body["fencing_token"]
        if request.path == "/pimentocross/hold":
            return await self._hold(body)
        if request.path == "/pimentocross/run-start":
            return self._start(body)
        if request.path == "/pimentocross/run-stop":
            return self._stop(body)
        return self._reply(200, {})

    def _renew(self, deadline: float) -> None:
        most = self.clock() + self.world.bounds["max_hold_ms"]
        self._lease_end = max(self._lease_end, min(deadline, most))

    async def _hold(self, body: dict[str, Any]) -> HttpReply:
        if "deadline_ms" in body:
            self._renew(body["deadline_ms"])
        noted = [end for end in self._ends if end[0] <= body["last_seen"]]
        for _, task, run, how, _ in noted:
            self.world.note(
                "noted", worker=self.life, task=task, run=run, how=how
            )
        self._ends = self._ends[len(noted) :]
        with trio.move_on_after(body.get("wait_ms", 0) / 1000):
            while not self._ends and not self.dead:
                await self._ended.wait()
        if self.dead:
            return self._reply(421, {})
        running = [
            [run.task, run.number, run.saved, self._percent(run), 0]
            for run in self._runs.values()
        ]
        return self._reply(
            200, {"running": running, "completions": self._ends[:ENDS_PAGE]}
        )

    def _percent(self, run: Run) -> int:
        if run.plan.seconds == float("inf"):
            return 100 if run.works_since is not None else 0
        done = run.base + run.worked(trio.current_time())
        return min(int(100 * done / max(run.plan.seconds, 0.001)), 99)

    def _start(self, body: dict[str, Any]) -> HttpReply:
        task, number = body["task"], body["run_id"]
        self.world.note(
            "start",
            worker=self.life,
            task=task,
            run=number,
            spec=body["spec"],
            token=body["fencing_token"],
            checkpoint=body.get("checkpoint", ""),
        )
        there = self._runs.get(task)
        if there is not None and there.number == number:
            return self._reply(200, {})
        if number <= self._barred.get(task, 0):
            self._renew(body["deadline_ms"])
            return self._refuse("old")
        if body["deadline_ms"] <= self.clock():
            return self._refuse("late")
        plan = self.world.plan_of(task)
        if plan is None:
            self.world.note("unasked", worker=self.life, task=task, run=number)
            return self._reply(400, {})
        self._renew(body["deadline_ms"])
        base = self.world.saved.get(body.get("checkpoint", ""), 0.0)
        run = Run(body, plan, trio.current_time(), base)
        capacity = self.entry["capacity"]
        self._count(run, 1)
        if (
            self._used[0] > capacity["cpu"]
            or self._used[1] > capacity["mem_mb"]
            or self._used[2] > capacity.get("gpus", 0)
        ):
            self._count(run, -1)
            return self._refuse("room")
        self._runs[task] = run
        self.world.note("began", worker=self.life, task=task, run=number)
        if plan.step.get("gang"):
            self.world.groups.setdefault(run.group, set()).add(run)
        return self._reply(200, {})

    def _stop(self, body: dict[str, Any]) -> HttpReply:
        task, number = body["task"], body["run_id"]
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number == number:
            self._end(run, "stopped")
        return self._reply(200, {})

    def _refuse(self, reason: str) -> HttpReply:
        self.world.note("refused", worker=self.life, reason=reason)
        return self._reply(409, {"reason": reason})

    def _reply(self, status: int, body: dict[str, Any]) -> HttpReply:
        said = {"clock_ms": int(self.clock()), **body}
        if "born" in self.entry:
            said["born"] = self.entry["born"]
        content = json.dumps(said).encode()
        return HttpReply(status, [], content)
