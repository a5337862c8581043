"""The servers of one service crash while the first requests on a new route run; they are back 4.5 s later."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins"))
from small_site import BOUNDS, TROUBLE, Backend, main  # noqa: E402

NODES = 3
ZONES = ("barn-north", "barn-south", "mill-shed", "barn-north")
OFFICES = ("127.0.0.21", "127.0.0.22", "127.0.0.23")  # Addresses of callers.
SCREENS = 4  # Each office has so many screens that show the same list.
POLL_S = 1.5
CRASH_AFTER_S = 0.5  # After the first requests on the new route.
DOWN_S = 4.5
SETTLE_S = 8.0  # Longer than the stability window and the time in which entries of servers are back.
COUNTED_S = 15.0
DEADLINE_MS = 5000


async def poll(site, office, target, results, until):
    """One screen: asks any node for the same list again and again."""
    while site.record.now() < until():
        sent = site.record.now()
        _, answer = await site.request(random.choice(site.nodes), "GET", target, DEADLINE_MS, caller=office)
        served = answer is not None and answer.status == 200 and "server-stamp" in answer.headers
        results.append((sent, served, "no answer" if answer is None else f"{answer.status} {answer.body.decode('latin-1').strip()[:30]}"))
        await asyncio.sleep(max(0.0, POLL_S - (site.record.now() - sent)))


async def case(site):
    services = ["order-book", "yard-tally"] + [f"counter-desk-{number}" for number in range(6)]
    backends = [Backend(site, service, zone, work_s=0.9 if service == "yard-tally" else 0.22, slots=6)
                for service in services for zone in (ZONES if service in services[:2] else ZONES[:2])]
    first = site.route("first", "/post/", "order-book")
    added = site.route("added", "/tally/", "yard-tally")
    await site.store.put("config", "main", site.configuration(7, [first], services))
    await site.start(NODES, backends)
    await site.wait_ready()

    end = [float("inf")]
    first_results, added_results, tasks = [], [], []
    for office in OFFICES:
        tasks.append(asyncio.create_task(poll(site, office, "/post/list", first_results, lambda: end[0])))
    await asyncio.sleep(2)
    site.record.write("version 11 adds a route")
    await site.store.put("config", "main", site.configuration(11, [first, added], services))
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 0.5)
    for office in OFFICES:
        for _ in range(SCREENS):
            tasks.append(asyncio.create_task(poll(site, office, "/tally/list", added_results, lambda: end[0])))
    await asyncio.sleep(CRASH_AFTER_S)
    crashing = [backend for backend in backends if backend.service == "yard-tally"]
    if TROUBLE:
        site.record.write("all servers of yard-tally crash")
        old = [backend.id for backend in crashing]
        for backend in crashing:
            backend.crash()
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        for backend, name in zip(crashing, old):
            await backend.start()
            await site.store.remove("servers", name)
        site.record.write("all servers of yard-tally are back")
    steady = site.record.now() + SETTLE_S
    end[0] = steady + COUNTED_S
    await asyncio.gather(*tasks)

    shares = {}
    for name, results in (("first", first_results), ("added", added_results)):
        counted = [result for result in results if result[0] > steady]
        shares[name] = sum(served for _, served, _ in counted) / max(len(counted), 1)
        kinds = sorted({text for _, served, text in counted if not served})
        site.record.say(f"route {name}, steady state: {shares[name]:.3f} of {len(counted)} requests were served {kinds if kinds else ''}")
    # Some seconds after the crash everything is as before, so at least 20 requests on the added route count.
    return shares["added"] >= shares["first"] / 4


main(FOLDER, case)
