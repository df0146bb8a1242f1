"""The rammi service: poster stills and scrubbing strips from frames, as PNG in base64."""

import base64
import io
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from PIL import Image, UnidentifiedImageError
from runnerserver import BadTaskError, serve_forever

MAX_WIDTH = 4096


def make_image(task: dict[str, Any]) -> dict[str, Any]:
    """Make what the task asks for: a `poster` of one frame or a `strip` of several."""
    width = task["width"]
    if not isinstance(width, int) or not 1 <= width <= MAX_WIDTH:
        raise BadTaskError(f"width must be 1 to {MAX_WIDTH}")
    match task["kind"]:
        case "poster":
            image = _scaled(_frame(task["frame"]), width)
        case "strip":
            image = _strip([_scaled(_frame(text), width) for text in task["frames"]])
        case other:
            raise BadTaskError(f"kind {other!r} is neither poster nor strip")
    return {"kind": task["kind"], "size": list(image.size), "png": encode_png(image)}


def encode_png(image: Image.Image) -> str:
    """Return an image as PNG in base64."""
    out = io.BytesIO()
    image.save(out, "PNG")
    return base64.b64encode(out.getvalue()).decode()


def _frame(text: str) -> Image.Image:
    try:
        return Image.open(io.BytesIO(base64.b64decode(text))).convert("RGB")
    except UnidentifiedImageError as error:
        raise BadTaskError("a frame is no image") from error


def _scaled(frame: Image.Image, width: int) -> Image.Image:
    height = max(1, round(frame.height * width / frame.width))
    return frame.resize((width, height), Image.Resampling.LANCZOS)


def _strip(tiles: list[Image.Image]) -> Image.Image:
    if not tiles:
        raise BadTaskError("a strip needs a frame")
    strip = Image.new("RGB", (sum(tile.width for tile in tiles), tiles[0].height))
    left = 0
    for tile in tiles:
        strip.paste(tile, (left, 0))
        left += tile.width
    return strip


if __name__ == "__main__":
    serve_forever(make_image)
