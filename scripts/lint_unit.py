#!/usr/bin/env python3
"""Runs clang-tidy on one source file of a build folder: lint_unit.py BUILD_DIR FILE.

A clean file is not checked again until one of the linter's inputs changes: the preprocessed text with comments and macros, the source, the
linter's configuration and version, and the compile command. Clean results are kept in the user's cache folder.
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def compile_command(build_dir, source):
    for entry in json.loads((build_dir / "compile_commands.json").read_text()):
        if pathlib.Path(entry["file"]) == source:
            return shlex.split(entry["command"]), entry["directory"]
    return None, None


def fingerprint(command, directory, source):
    """Returns a hash of all inputs of the check, or None if the file can't be preprocessed."""
    words = [word for word in command if pathlib.Path(word).name != "ccache"]
    if "-o" in words:
        at = words.index("-o")
        del words[at:at + 2]
    words = [word for word in words if word != "-c"]
    seen = subprocess.run([*words, "-E", "-P", "-C", "-dD"], cwd=directory, capture_output=True)
    if seen.returncode != 0:
        return None
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True).stdout
    root = str(pathlib.Path.cwd())
    flags = " ".join(words).replace(root, "").encode()
    text = hashlib.sha256()
    for part in (seen.stdout.replace(root.encode(), b""), source.read_bytes(), pathlib.Path(".clang-tidy").read_bytes(), version, flags):
        text.update(hashlib.sha256(part).digest())
    return text.hexdigest()


def main():
    build_dir, source = pathlib.Path(sys.argv[1]).resolve(), pathlib.Path(sys.argv[2]).resolve()
    command, directory = compile_command(build_dir, source)
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "snipefall-lint"
    known = fingerprint(command, directory, source) if command else None
    if known and (cache / known).exists():
        return 0
    result = subprocess.run(["clang-tidy", "--quiet", "-p", str(build_dir), str(source)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    sys.stdout.write(result.stdout)
    if result.returncode == 0 and known:
        cache.mkdir(parents=True, exist_ok=True)
        (cache / known).touch()
    return result.returncode


sys.exit(main())
