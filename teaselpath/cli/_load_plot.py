"""Plots the results of the load tool."""

from pathlib import Path
from typing import Any

FIGURE_INCHES = (11.0, 9.0)


def write_plot(results: dict[str, Any], path: Path) -> None:
    """Write an image: first-token times and results by second, and percentiles by class."""
    # Imported here because the import is slow and the other commands do not need it.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    series = results["series"]
    seconds = [entry["second"] for entry in series]
    figure, (first_token_axes, result_axes, percentile_axes) = plt.subplots(
        3, 1, figsize=FIGURE_INCHES, layout="tight"
    )
    for name in results["classes"]:
        samples = [(e["second"], e["first_token_ms"].get(name)) for e in series]
        points = [(second, value) for second, value in samples if value]
        for key, style in (("p50", "--"), ("p99", "-")):
            xs, ys = [s for s, _ in points], [v[key] for _, v in points]
            first_token_axes.plot(xs, ys, style, label=f"{name} {key}")
    first_token_axes.set(ylabel="first token (ms)", xlabel="time (s)", yscale="log")
    kinds = sorted({kind for entry in series for kind in entry["results"]})
    result_axes.plot(seconds, [entry["sent"] for entry in series], "k:", label="sent")
    for kind in kinds:
        result_axes.plot(seconds, [entry["results"].get(kind, 0) for entry in series], label=kind)
    result_axes.set(ylabel="calls/s", xlabel="time (s)")
    for name, group in results["classes"].items():
        summary = group["first_token"]
        labels = [key for key in summary if key.startswith("p")]
        percentile_axes.plot(labels, [summary[key] for key in labels], marker="o", label=name)
    percentile_axes.set(ylabel="first token (ms)", xlabel="percentile", yscale="log")
    for axes in (first_token_axes, result_axes, percentile_axes):
        axes.grid(alpha=0.3)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small")
    figure.savefig(path)
    plt.close(figure)
