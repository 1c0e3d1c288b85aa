"""Commands that work on local files: keygen, check, diff and sign."""

import os
from pathlib import Path
from secrets import token_bytes, token_urlsafe

import click
import zmq

from teaselpath.bundle import (
    check_bundle,
    diff_bundles,
    key_digest,
    operator_public_key,
    sign_record,
)
from teaselpath.cli._common import (
    EXIT_FAULTS,
    EXIT_USAGE,
    fail,
    json_option,
    key_option,
    read_bundle,
    read_file,
    read_key,
)
from teaselpath.cli._tables import print_rows
from teaselpath.clients import check_settings

CALLER_KEY_BYTES = 32


def _write_secret(path: Path, data: str) -> None:
    try:
        with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
            file.write(data + "\n")
    except OSError as error:
        fail(EXIT_USAGE, f"cannot write {path}: {error.strerror}")


def _write_public(path: Path, data: str) -> None:
    try:
        path.write_text(data + "\n")
    except OSError as error:
        fail(EXIT_USAGE, f"cannot write {path}: {error.strerror}")


@click.command()
@click.argument("kind", type=click.Choice(["operator", "caller", "curve"]))
@click.argument("path", type=click.Path())
@json_option
def keygen(kind: str, path: str, as_json: bool) -> None:
    """Generate a key: write the secret to PATH and the public part to PATH.pub.

    The public part of a caller's key is its digest, in the form used in bundles.
    """
    if kind == "operator":
        private = token_bytes(32)
        secret, public = private.hex(), operator_public_key(private).hex()
    elif kind == "caller":
        secret = token_urlsafe(CALLER_KEY_BYTES)
        public = key_digest(secret).hex()
    else:
        pair = zmq.curve_keypair()
        public, secret = pair[0].decode(), pair[1].decode()
    _write_secret(Path(path), secret)
    _write_public(Path(f"{path}.pub"), public)
    print_rows(as_json, ("kind", "secret_file", "public"), [(kind, path, public)])


@click.command()
@click.argument("path", type=click.Path())
@click.option(
    "--settings", "is_settings", is_flag=True, help="PATH is a settings file, not a bundle."
)
@json_option
def check(path: str, is_settings: bool, as_json: bool) -> None:
    """Check a bundle or a settings file and print every fault."""
    data = read_file(path)
    checked = check_settings(data) if is_settings else check_bundle(data)
    faults = checked.err() or []
    rows = [(f.path, f.code.value, f.code.name, f.detail) for f in faults]
    if rows or as_json:
        print_rows(as_json, ("path", "code", "name", "reason"), rows)
    else:
        click.echo(f"{path}: no faults")
    raise SystemExit(EXIT_FAULTS if rows else 0)


@click.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
@json_option
def diff(old: str, new: str, as_json: bool) -> None:
    """Show the differences between the bundles OLD and NEW."""
    changes = diff_bundles(read_bundle(old), read_bundle(new))
    rows = [(change.kind, change.path, change.old, change.new) for change in changes]
    print_rows(as_json, ("change", "path", "old", "new"), rows)


@click.command()
@click.argument("path", type=click.Path())
@click.argument("output", type=click.Path())
@key_option
def sign(path: str, output: str, operator_key: str) -> None:
    """Check the bundle in PATH and write the signed record to OUTPUT."""
    read_bundle(path)
    record = sign_record("bundle", read_file(path), read_key(operator_key))
    try:
        Path(output).write_bytes(record)
    except OSError as error:
        fail(EXIT_USAGE, f"cannot write {output}: {error.strerror}")
    click.echo(f"{output}: {len(record)} bytes")
