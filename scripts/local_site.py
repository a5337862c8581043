"""Runs a small local site: the stand-in of the platform, nodes and backend servers, each in its own process."""
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

START_TIMEOUT_S = 30
# Below the ephemeral ports: an outgoing connection could otherwise take a port after free_port() chose it and before a process binds it.
PORTS = range(12000, 32000)


def free_port():
    """Returns a port that is currently free for both TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            port = random.choice(PORTS)
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def http(method, address, target, body=None, headers=None, timeout=10):
    """Returns (status, JSON body); raises OSError when there is no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{target}", data=data, method=method, headers=headers or {})
    if data is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, {"text": text.decode(errors="replace")}


class Site:
    """Owns the processes of the site; stop() ends all of them, also after a partially failed start."""

    def __init__(self, build_dir, verbose=False):
        self.bin = pathlib.Path(build_dir, "bin").resolve()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="snipefall-"))
        self.verbose = verbose
        self.processes = {}
        self.platform = f"127.0.0.1:{free_port()}"
        self.nodes = {}
        self.servers = {}
        key_file = self.directory / "peer.key"
        key_file.write_text("k1:" + os.urandom(32).hex() + "\n")
        key_file.chmod(0o600)

    def spawn(self, name, *arguments):
        log = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen([str(self.bin / arguments[0]), *map(str, arguments[1:])], stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        return process

    def log(self, name):
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def start_platform(self):
        self.spawn("platform", "stand_in_platform", "--address", self.platform)
        self.wait_for(lambda: http("GET", self.platform, "/vms")[0] == 200, "the platform")

    def add_server(self, server, service, domain, version="v1", state="live", **flags):
        address = f"127.0.0.1:{free_port()}"
        arguments = ["--address", address, "--service", service, "--version", version, "--server-id", server, "--domain", domain]
        for name, value in flags.items():
            arguments += ["--" + name.replace("_", "-"), value]
        self.spawn(server, "stand_in_backend", *arguments)
        self.servers[server] = {"id": server, "address": address, "service": service, "version": version, "domain": domain, "state": state}
        return address

    def publish_vms(self):
        http("PUT", self.platform, "/vms", list(self.servers.values()))

    def add_node(self, name, domain, *extra, program=None):
        ports = {kind: f"127.0.0.1:{free_port()}" for kind in ("callers", "operators", "peers")}
        seeds = ",".join(node["peers"] for node in self.nodes.values())
        self.nodes[name] = {**ports, "domain": domain}
        self.spawn(
            name, program or "snipefalld", "--node-id", name, "--domain", domain, "--caller-address", ports["callers"], "--operator-address", ports["operators"],
            "--peer-address", ports["peers"], "--platform-address", self.platform, "--peer-key-file", self.directory / "peer.key",
            *(["--seed-peers", seeds] if seeds else []), *extra)
        return ports

    def wait_ready(self, name):
        address = self.nodes[name]["operators"]
        self.wait_for(lambda: http("GET", address, "/readyz")[0] == 200, f"node {name}")

    def wait_for(self, condition, what, timeout=START_TIMEOUT_S):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for name, process in self.processes.items():
                if process.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                    raise RuntimeError(f"{name} ended with {process.returncode}:\n{self.log(name)[-2000:]}")
            try:
                if condition():
                    return
            except (OSError, KeyError, TypeError):
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what}: not reached within {timeout} s")

    def patch(self, merge, reason, node=None):
        address = self.nodes[node or next(iter(self.nodes))]["operators"]
        base = http("GET", address, "/v1/config")[1]["version"]
        patch = {"patch_id": f"patch-{os.urandom(8).hex()}", "base_version": base, "author": "site", "reason": reason, "merge": merge}
        return http("POST", address, "/v1/config/patches", patch)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for file in self.directory.iterdir():
            file.unlink()
        self.directory.rmdir()
