"""A version that was rolled back, ordered again and done is stopped on all machines when the next version is ordered."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_3"))
sys.dont_write_bytecode = True
import small_platform as sp  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 3
FINISH_BY_S = 8
STARTED = time.monotonic()
lines = []


def note(text):
    lines.append("%8.3f %s" % (time.monotonic() - STARTED, text))


class Server(sp.Backend):
    """A server of one version; a bad one fails all requests."""

    def __init__(self, *args, bad=False, **settings):
        super().__init__(*args, **settings)
        self.bad = bad
        self.handle = self.run

    async def run(self, request_id, method, path, body, writer):
        if not self.bad:
            return await super().run(request_id, method, path, body, writer)
        self.runs.append((time.monotonic(), request_id, method, path, body))
        self.write(writer, 500, [("Request-Id", request_id), ("Server-Stamp", self.stamp(request_id, b"bad"))], b"bad")
        await writer.drain()
        return True


class Traffic:
    """Callers of both routes at all machines."""

    def __init__(self, site):
        self.site, self.number, self.outcomes = site, 0, []

    async def ask(self, node, path):
        self.number += 1
        headers = {"Host": "pupu76.example", "Request-Id": "r%d" % self.number, "Deadline-Ms": "1500"}
        begun = time.monotonic()
        try:
            status = (await sp.call(node.addresses["front"], "GET", path, headers, timeout=3))[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.outcomes.append((begun, node.name, path, status))

    async def run(self, offset):
        count = offset
        while True:
            count += 1
            node = self.site.nodes[count % MACHINES]
            await self.ask(node, "/recall/one" if count % 4 == 0 else "/orders/one")
            await asyncio.sleep(0.05)

    def served(self, path, since):
        asked = [outcome for outcome in self.outcomes if outcome[0] >= since and outcome[2] == path]
        return sum(outcome[3] == 200 for outcome in asked), len(asked)


async def move(site, state, target):
    """Orders the service's move to a version and waits for the recorded end."""
    site.store.put("rollouts", "ledger", {"service": "ledger", "target_version": target, "finish_by_s": FINISH_BY_S})
    begun = time.monotonic()
    while time.monotonic() - begun < FINISH_BY_S + 5:
        status = site.store.objects["rollouts"]["ledger"]["status"] or {}
        if status.get("target_version") == target and status.get("state") in ("done", "rolled_back"):
            note("order for %s: %s after %.1f s" % (target, status["state"], time.monotonic() - begun))
            return status["state"] == state
        await asyncio.sleep(0.1)
    note("order for %s: no end" % target)
    return False


async def leave(site, backend):
    site.report(backend, "draining")
    await asyncio.sleep(4)
    site.store.delete("servers", backend.ident)
    backend.stop()
    del site.backends[backend.ident]


async def main():
    async with sp.Site() as site:
        old = [await site.add_backend(Server("old-%d" % n, "ledger", slots=6, work=0.01)) for n in range(3)]
        for n in range(2):
            await site.add_backend(Server("a-%d" % n, "archive", slots=6, work=0.01))
        recall = sp.route("recall", "/recall/", timeout=1500, target=400, service="archive")
        orders = sp.route("orders", "/orders/", timeout=1500, target=400, service="ledger")
        site.store.put("config", "main", sp.configuration(7, [recall], ["archive"], max_conns=100))
        await site.start_nodes(MACHINES)
        site.store.put("config", "main", sp.configuration(9, [recall, orders], ["archive", "ledger"], max_conns=100))
        await asyncio.sleep(6)
        note("version 9 adds the route /orders/; %d machines" % MACHINES)
        traffic = Traffic(site)
        callers = [asyncio.create_task(traffic.run(n)) for n in range(6)]
        if TROUBLE:
            bad = [await site.add_backend(Server("bad-%d" % n, "ledger", slots=6, work=0.01, version="v2", bad=True)) for n in range(2)]
            if not await move(site, "rolled_back", "v2"):
                return 2
            await asyncio.gather(*[leave(site, backend) for backend in bad])
            site.store.delete("rollouts", "ledger")
            note("the servers of v2 have left, the operator has removed the order")
            await asyncio.sleep(1)
        for n in range(3):
            await site.add_backend(Server("new-%d" % n, "ledger", slots=6, work=0.01, version="v2"))
        if not await move(site, "done", "v2"):
            return 2
        for backend in old:
            site.store.delete("servers", backend.ident)
            backend.stop()
            del site.backends[backend.ident]
        await asyncio.sleep(2)
        before = time.monotonic()
        await asyncio.sleep(3)
        note("all servers are of v2; /orders/: served %d of %d" % traffic.served("/orders/one", before))
        third = [await site.add_backend(Server("third-%d" % n, "ledger", slots=6, work=0.01, version="v3", bad=True)) for n in range(2)]
        if not await move(site, "rolled_back", "v3"):
            return 2
        await asyncio.gather(*[leave(site, backend) for backend in third])
        note("the servers of v3 have left; the store lists %s" % ", ".join(sorted(site.store.objects["servers"])))
        await asyncio.sleep(5)
        steady = time.monotonic()
        await asyncio.sleep(12)
        for caller in callers:
            caller.cancel()
        later, first = traffic.served("/orders/one", steady), traffic.served("/recall/one", steady)
        for node in site.nodes:
            statuses = {}
            for begun, name, path, status in traffic.outcomes:
                if begun >= steady and name == node.name and path == "/orders/one":
                    statuses[status] = statuses.get(status, 0) + 1
            note("%s: /orders/ %s" % (node.name, statuses))
        note("5 s to 17 s after the last change: the added route served %d of %d, the first route %d of %d" % (later + first))
        if first[1] < 20 or later[1] < 20 or first[0] < first[1]:
            return 2
        return 1 if later[0] / later[1] < first[0] / first[1] / 4 else 0


if __name__ == "__main__":
    try:
        status = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:  # noqa: BLE001
        note("the case could not run: %r" % error)
        status = 2
    with open(os.path.join(HERE, "record.txt"), "w") as record:
        record.write("\n".join(lines) + "\n")
    print(lines[-1])
    sys.exit(status)
