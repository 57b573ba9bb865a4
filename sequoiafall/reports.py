"""Helpers of commands that write reports."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Annotated, Any

import typer

EXIT_BAD_INPUT = 2
DOTS_PER_INCH = 100

ReportPaths = Annotated[
    list[Path] | None, typer.Option(help="Report: .json, .png or .html.")
]


def bad_input_exit(program: str, message: str) -> typer.Exit:
    """Print an error in the input and return the exception that ends the program."""
    typer.echo(f"{program}: {message}", err=True)
    return typer.Exit(EXIT_BAD_INPUT)


def render_png(figure: Any) -> bytes:
    """Render a matplotlib figure as PNG."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS_PER_INCH)
    return buffer.getvalue()


def write_image(path: Path, image: bytes, title: str, summary: str) -> None:
    """Write plots as PNG, or as HTML with the summary, depending on the suffix.

    Raises
    ------
    OSError
        If the file cannot be written.
    """
    if path.suffix == ".png":
        path.write_bytes(image)
        return
    encoded = base64.b64encode(image).decode()
    path.write_text(
        f"<!doctype html><meta charset='utf-8'><title>{html.escape(title)}</title>"
        f"<pre>{html.escape(summary)}</pre>"
        f"<img alt='plots' src='data:image/png;base64,{encoded}'>\n"
    )
