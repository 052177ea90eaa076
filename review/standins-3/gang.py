"""Minions that run gangs: the members of a run work only together, from the moment when all of them are
present with the same checkpoint, in step with each other."""

import asyncio
import time

from cell import Minion

GANG_TIMEOUT_S = 3.0
CHECKPOINT_INTERVAL_S = 1.0
POLL_S = 0.01


class GangMinion(Minion):
    """A minion on which each task is a member of a gang."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.reported = {}  # task -> the checkpoint that was last reported

    def run_start(self, request):
        status, answer = super().run_start(request)
        run = self.running.get(request["task"])
        if status == 200 and run is not None and "carried" not in run:
            run["carried"] = run["saved"] = request.get("checkpoint", "")
            self.cell.gang_started(self, request["task"], request["run"], run["carried"])
        return status, answer

    def end(self, task, how, saved=""):
        run = self.running.get(task, {})
        super().end(task, how, saved or run.get("saved", ""))

    async def hold(self, request):
        status, answer = await super().hold(request)
        rows = []
        for task, run in sorted(self.running.items()):
            rows.append([task, run["run"], run.get("saved", ""), 100, 0])
            self.reported[task] = run.get("saved", "")
        answer["running"] = rows
        return status, answer


class Gang:
    """The gang of a job with one step: its members on all minions."""

    def __init__(self, cell, job, count, length_s):
        self.cell, self.job, self.count, self.length_s = cell, job, count, length_s
        self.worked = {"": 0.0}  # checkpoint -> work that it stands for, in seconds
        self.started = []  # (run, task, checkpoint)
        self.work_began = {}  # run -> time
        cell.gang_started = self.member_started

    def member_started(self, minion, task, run, checkpoint):
        self.started.append((run, task, checkpoint))
        self.cell.record.line(f"minion {minion.id}: {task} run {run} carries the checkpoint {checkpoint!r}")

    def checkpoints(self, run):
        return {task: checkpoint for number, task, checkpoint in self.started if number == run}

    def members(self):
        return [
            (minion, task, state)
            for minion in self.cell.minions
            if minion.up
            for task, state in minion.running.items()
            if task.startswith(self.job + ".")
        ]

    async def work(self):
        """Lets the runs work, save checkpoints and end."""
        while True:
            await asyncio.sleep(POLL_S)
            by_run = {}
            for member in self.members():
                by_run.setdefault(member[2]["run"], []).append(member)
            for run, members in by_run.items():
                self.step(run, members)

    def step(self, run, members):
        now = time.monotonic()
        carried = {state.get("carried") for _, _, state in members}
        if run in self.work_began:
            if len(members) < self.count:
                return self.end(members, "broken")
            base = self.worked[next(iter(carried))]
            done = base + now - self.work_began[run]
            if done >= self.length_s:
                return self.end(members, "done")
            saved = int((now - self.work_began[run]) / CHECKPOINT_INTERVAL_S)
            if saved:
                value = f"{run:04x}{saved:08x}"
                self.worked[value] = base + saved * CHECKPOINT_INTERVAL_S
                for _, _, state in members:
                    state["saved"] = value
        elif len(members) == self.count and len(carried) == 1:
            self.work_began[run] = now
            self.cell.record.line(f"the gang of run {run} is complete and works")
        else:
            waited = [member for member in members if now - member[2]["began"] > GANG_TIMEOUT_S]
            if waited:
                self.end(waited, "alone")

    def end(self, members, how):
        for minion, task, _ in members:
            minion.end(task, how)
