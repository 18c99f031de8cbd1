#!/usr/bin/env python3
"""Runs clang-tidy on sources, except those that are known to be clean.

usage: lint_sources.py BUILD_DIRECTORY SOURCE...

A source is known to be clean if clang-tidy passed on the same input: the
contents of the source and of every file that it includes, the compiler
options, the checks and the version of the linter. The folder that the
environment names as FOXTAILLIFT_LINT_CACHE holds an empty file for each such
input, named by its hash.
"""
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

LINTER = "clang-tidy-19"
# Asio reads these two to enable coroutines under clang 19.
EXTRA_ARGUMENTS = [
    "-DBOOST_ASIO_HAS_CO_AWAIT",
    "-DBOOST_ASIO_HAS_STD_COROUTINE",
    "-Wno-unknown-warning-option",
]


def compile_command(build, source):
    """Arguments of the compiler without the output file, and its folder."""
    for entry in json.loads((build / "compile_commands.json").read_text()):
        if pathlib.Path(entry["file"]) == source:
            words = shlex.split(entry["command"])
            if pathlib.Path(words[0]).name == "ccache":
                words = words[1:]
            at = words.index("-o")
            return words[:at] + words[at + 2:], entry["directory"]
    return None


def input_hash(build, source, root):
    """Hash of all that decides the linter's verdict; None if not known."""
    found = compile_command(build, source)
    if found is None:
        return None
    words, folder = found
    listed = subprocess.run(
        [word for word in words if word != "-c"] + ["-M"],
        cwd=folder, capture_output=True, text=True)
    if listed.returncode != 0:
        return None
    version = subprocess.run(
        [LINTER, "--version"], capture_output=True, text=True, check=True)
    # Another checkout in another folder has the same input.
    digest = hashlib.sha256(
        json.dumps([version.stdout, EXTRA_ARGUMENTS, words])
        .replace(str(root), "").encode())
    digest.update((root / ".clang-tidy").read_bytes())
    rule = listed.stdout.split(":", 1)[1].replace("\\\n", " ")
    for name in re.split(r"(?<!\\)\s+", rule.strip()):
        path = pathlib.Path(folder, name.replace("\\ ", " "))
        digest.update(os.path.relpath(path, root).encode()
                      if path.is_relative_to(root) else str(path).encode())
        digest.update(hashlib.sha256(path.read_bytes()).digest())
    return digest.hexdigest()


def main():
    root = pathlib.Path.cwd()
    build = root / sys.argv[1]
    cache = pathlib.Path(os.environ["FOXTAILLIFT_LINT_CACHE"])
    status = 0
    for name in sys.argv[2:]:
        known = input_hash(build, root / name, root)
        if known is not None and (cache / known).exists():
            continue
        result = subprocess.run(
            [LINTER, "-p", str(build), "--quiet"]
            + ["--extra-arg=" + each for each in EXTRA_ARGUMENTS] + [name])
        if result.returncode != 0:
            status = 1
        elif known is not None:
            (cache / known).touch()
    return status


sys.exit(main())
