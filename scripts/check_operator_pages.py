#!/usr/bin/env python3
"""Runs the commands of the operators' pages against a small local site, page by page, in the order of PAGES.

Bash runs each fenced block "sh" in one common work folder, with NODE and CALLER set; a block with a non-zero exit code fails its page.
Prints one line "page NAME: passed" or "page NAME: failed" for each page.
"""
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile

from local_site import Site

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs" / "operators"
# Each page depends on the state that the pages before it leave behind.
PAGES = ("deploy.md", "keys_and_tokens.md", "failure_domain.md", "move_version.md", "platform_outage.md", "alarms.md", "slow_answers.md", "upgrade.md")
NODES = {"node-1": "domain-a", "node-2": "domain-b", "node-3": "domain-c"}
BLOCK_TIMEOUT_S = 180


def blocks_of(text):
    """Returns the commands of the sh blocks; removes the indentation of blocks inside list items."""
    found = re.finditer(r"^([ ]*)```sh\n(.*?)^\1```$", text, re.M | re.S)
    return [re.sub(rf"^{match.group(1)}", "", match.group(2), flags=re.M) for match in found]


def start(site):
    site.start_platform()
    for version in ("v1", "v2"):
        for domain in ("domain-a", "domain-b"):
            site.add_server(f"clerk-{version}-{domain}", "clerk-desk-01", domain, version=version, shards=12, items_per_shard=10)
    site.publish_vms()
    for name, domain in NODES.items():
        site.add_node(name, domain)
    for name in NODES:
        site.wait_ready(name)


def run_block(block, folder, environment):
    """Returns an error description, which is empty if the block succeeded."""
    process = subprocess.Popen(["bash", "-euo", "pipefail", "-c", block], cwd=folder, env=environment, text=True, stdin=subprocess.DEVNULL,
                               stdout=subprocess.PIPE, stderr=subprocess.STDOUT, start_new_session=True)
    try:
        output, _ = process.communicate(timeout=BLOCK_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        return f"{block}\n-> no end within {BLOCK_TIMEOUT_S} s\n{output}"
    return "" if process.returncode == 0 else f"{block}\n-> exit code {process.returncode}\n{output}"


def check_page(page, folder, environment):
    blocks = blocks_of((FOLDER / page).read_text())
    problems = [] if blocks else ["no commands were found"]
    for block in blocks:
        problem = run_block(block, folder, environment)
        if problem:
            problems.append(problem)
    print(f"page {page}: {'failed' if problems else 'passed'}", flush=True)
    print("\n".join(problems), end="\n" if problems else "", flush=True)
    return not problems


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    unlisted = {path.name for path in FOLDER.glob("*.md")} - set(PAGES)
    for page in sorted(unlisted):
        print(f"page {page}: failed\nthe page is not in the list of this script")
    site = Site(sys.argv[1])
    folder = tempfile.mkdtemp(prefix="snipefall-pages-")
    try:
        start(site)
        node = site.nodes["node-1"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("SNIPEFALL_")}
        environment |= {"NODE": node["operators"], "CALLER": node["callers"], "PATH": f"{site.bin}:{os.environ['PATH']}"}
        passed = [check_page(page, folder, environment) for page in PAGES]
    finally:
        site.stop()
        shutil.rmtree(folder)
    return 0 if all(passed) and not unlisted else 1


sys.exit(main())
