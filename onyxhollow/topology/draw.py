"""Rendering of a picture as SVG, HTML and PNG. Each file is self-contained, without external links."""

from __future__ import annotations

import io
from dataclasses import dataclass

from jinja2 import Environment, PackageLoader
from markupsafe import Markup

from onyxhollow.topology.model import Snapshot
from onyxhollow.topology.scene import build_scene
from onyxhollow.topology.symbols import Scene

TEMPLATES = Environment(
    loader=PackageLoader("onyxhollow.topology"), autoescape=True, trim_blocks=True, lstrip_blocks=True
)
PNG_DPI = 80
MIN_PNG_HEIGHT_INCHES = 2.0
FAULT_COLOUR = "#a20"
MEMBER_COLOUR = "#246"
ENDPOINT_COLOUR = "#777"


class MissingLibraryError(Exception):
    """A library that the format needs is not installed; the message names it in one line."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One picture of a replay."""

    time: float  # Unix seconds
    picture: Markup
    faults: list[str]
    is_marked: bool  # leases, addresses, faults or the number of members differ from the previous frame


def svg(snapshot: Snapshot) -> str:
    """Render the picture as an SVG document."""
    return _render_svg(build_scene(snapshot))


def html(snapshot: Snapshot) -> str:
    """Render one HTML page with the picture and the tables of faults, leases and addresses."""
    scene = build_scene(snapshot)
    return TEMPLATES.get_template("fleet.html").render(scene=scene, picture=_embed_svg(scene))


def replay(snapshots: list[Snapshot]) -> str:
    """Render a page with a time slider and marks where leases, addresses, members or faults changed."""
    frames = []
    previous: Scene | None = None
    for snapshot in snapshots:
        scene = build_scene(snapshot)
        is_marked = previous is not None and _has_changed(previous, scene)
        frames.append(Frame(snapshot.taken_at, _embed_svg(scene), scene.faults, is_marked))
        previous = scene
    return TEMPLATES.get_template("replay.html").render(frames=frames)


def png(snapshot: Snapshot) -> bytes:
    """Render the picture as PNG with matplotlib, in the same layout.

    Raises:
        MissingLibraryError: matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise MissingLibraryError("PNG output requires matplotlib: pip install 'onyxhollow[lab]'") from None
    scene = build_scene(snapshot)
    figure = Figure(figsize=(scene.width / PNG_DPI, max(MIN_PNG_HEIGHT_INCHES, scene.height / PNG_DPI)))
    axes = figure.add_axes((0, 0, 1, 1))
    axes.set_xlim(0, scene.width)
    axes.set_ylim(scene.height, 0)
    axes.axis("off")
    axes.text(20, 20, f"{scene.members} members, {scene.endpoints} servers; {len(scene.faults)} troubles")
    for box in scene.boxes:
        axes.text(box.x + 8, box.y + 14, f"{box.zone}: {box.summary}", fontsize=6, parse_math=False)
        for member in box.members:
            shape = "D" if member.mark else "o"
            axes.plot(member.x, member.y, shape, color=FAULT_COLOUR if member.mark else MEMBER_COLOUR)
            if member.is_labelled:
                label = f"{member.name} {member.mark}"
                axes.text(member.x, member.y + 12, label, fontsize=4, ha="center", parse_math=False)
        for endpoint in box.endpoints:
            shape = "X" if endpoint.mark else "s"
            axes.plot(endpoint.x, endpoint.y, shape, color=FAULT_COLOUR if endpoint.mark else ENDPOINT_COLOUR)
    image = io.BytesIO()
    figure.savefig(image, dpi=PNG_DPI, format="png")
    return image.getvalue()


def _render_svg(scene: Scene) -> str:
    return TEMPLATES.get_template("fleet.svg").render(scene=scene)


def _embed_svg(scene: Scene) -> Markup:
    return Markup(_render_svg(scene))  # safe: autoescape is on in the template


def _has_changed(before: Scene, after: Scene) -> bool:
    return (
        before.leases != after.leases
        or before.addresses != after.addresses
        or before.faults != after.faults
        or before.members != after.members
    )
