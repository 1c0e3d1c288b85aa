"""Plot of the results of the load tool."""

from pathlib import Path
from typing import Any

FIGURE_INCHES = (11.0, 9.0)


def write_plot(results: dict[str, Any], path: Path) -> None:
    """Write first-token times, results by second, and percentiles by class as an image."""
    # Imported here, because the other commands should not wait for matplotlib.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    series = results["series"]
    seconds = [entry["second"] for entry in series]
    figure, (times, counts, tails) = plt.subplots(3, 1, figsize=FIGURE_INCHES, layout="tight")
    for name in results["classes"]:
        found = [(e["second"], e["first_token_ms"].get(name)) for e in series]
        points = [(second, value) for second, value in found if value]
        for key, style in (("p50", "--"), ("p99", "-")):
            xs, ys = [s for s, _ in points], [v[key] for _, v in points]
            times.plot(xs, ys, style, label=f"{name} {key}")
    times.set(ylabel="first token (ms)", xlabel="time (s)", yscale="log")
    kinds = sorted({kind for entry in series for kind in entry["results"]})
    counts.plot(seconds, [entry["sent"] for entry in series], "k:", label="sent")
    for kind in kinds:
        counts.plot(seconds, [entry["results"].get(kind, 0) for entry in series], label=kind)
    counts.set(ylabel="calls/s", xlabel="time (s)")
    for name, group in results["classes"].items():
        summary = group["first_token"]
        labels = [key for key in summary if key.startswith("p")]
        tails.plot(labels, [summary[key] for key in labels], marker="o", label=name)
    tails.set(ylabel="first token (ms)", xlabel="percentile", yscale="log")
    for axes in (times, counts, tails):
        axes.grid(alpha=0.3)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small")
    figure.savefig(path)
    plt.close(figure)
