#!/usr/bin/env python3
"""Runs every test program of a build folder and prints the total as "N passed, N failed".

Cases that KNOWN-RED.txt names (lines "test: PROGRAM/SUITE/CASE ...") are run and printed, but don't change the exit code.
"""
import concurrent.futures
import pathlib
import re
import subprocess
import sys

TIMEOUT_S = 900
# Measures the memory of processes under pressure, which depends on how they get the processors, so it runs after the other programs.
ALONE = {"test_uncontrolled_clients"}


def known_red():
    path = pathlib.Path("KNOWN-RED.txt")
    if not path.exists():
        return set()
    return {match.group(1) for match in re.finditer(r"^test: (\S+)", path.read_text(), re.M)}


def run(program):
    command = [str(program), "--log_level=test_suite", "--log_format=HRF", "--report_level=no", "--color_output=no"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, stdin=subprocess.DEVNULL)
        output, code = done.stdout + done.stderr, done.returncode
    except subprocess.TimeoutExpired as expired:
        output, code = f"{expired.stdout or ''}\ntimeout after {TIMEOUT_S} s", -1
    suite, passed, failed, errors, entered = [], [], [], False, None
    for line in output.splitlines():
        match = re.search(r'(Entering|Leaving) test (suite|module|case) "([^"]+)"', line)
        if match:
            action, kind, name = match.groups()
            if kind == "suite":
                suite.append(name) if action == "Entering" else suite.pop()
            elif kind == "case" and action == "Entering":
                entered, errors = "/".join([program.name, *suite, name]), False
            elif kind == "case":
                (failed if errors else passed).append(entered)
                entered = None
        elif re.search(r"(error|fatal error): in ", line):
            errors = True
    if entered:
        failed.append(entered)
    if code != 0 and not failed:
        failed.append(f"{program.name}/exit code {code}")
    return program.name, output, passed, failed


def run_pages(build_dir):
    """Runs the commands of the operators' pages; each page counts as one test."""
    script = pathlib.Path(__file__).with_name("check_operator_pages.py")
    process = subprocess.Popen([sys.executable, str(script), build_dir], stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    try:
        output, _ = process.communicate(timeout=TIMEOUT_S)
        code = process.returncode
    except subprocess.TimeoutExpired:
        # SIGTERM, unlike SIGKILL, lets the script end the processes of its site.
        process.terminate()
        output, code = process.communicate()[0] + f"\ntimeout after {TIMEOUT_S} s", -1
    results = {"passed": [], "failed": []}
    for page, result in re.findall(r"^page (\S+): (passed|failed)$", output, re.M):
        results[result].append(f"check_operator_pages/{page}")
    if code != 0 and not results["failed"]:
        results["failed"].append(f"check_operator_pages/exit code {code}")
    return "check_operator_pages", output, results["passed"], results["failed"]


def main():
    programs = sorted(pathlib.Path(sys.argv[1], "bin").glob("test_*"))
    expected = known_red()
    passed, failed, expected_failures = 0, [], []
    # Tests that start processes compete for the CPUs, so only a few programs run concurrently.
    with concurrent.futures.ThreadPoolExecutor(max_workers=3) as pool:
        jobs = [pool.submit(run, program) for program in programs if program.name not in ALONE] + [pool.submit(run_pages, sys.argv[1])]
        concurrent.futures.wait(jobs)
        for program in programs:
            if program.name in ALONE:
                jobs.append(pool.submit(run, program))
                concurrent.futures.wait(jobs)
        for name, output, ok, bad in (job.result() for job in jobs):
            unexpected = [case for case in bad if case not in expected]
            expected_failures += [case for case in bad if case in expected]
            failed += unexpected
            passed += len(ok)
            print(f"{name}: {len(ok)} passed, {len(unexpected)} failed", flush=True)
            if unexpected:
                lines = [line for line in output.splitlines() if not re.search(r"(Entering|Leaving) test", line)]
                # Programs log a lot between a failed check and their end.
                checks = [line for line in lines[:-80] if re.search(r"(error|fatal error): in ", line)]
                print("\n".join(checks + lines[-80:]))
    for case in expected_failures:
        print(f"known red: {case}")
    for case in failed:
        print(f"failed: {case}")
    print(f"{passed} passed, {len(failed)} failed")
    sys.exit(1 if failed or passed == 0 else 0)


main()
