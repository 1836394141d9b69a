package org.pimentovale.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.pimentovale.json.Json;

/** Implements {@code plot}: draws the attainment of several replays over time. Stateless and thread safe. */
public final class PlotCommand implements BenchCommand {
    private static final int WIDTH_PIXELS = 1_000;
    private static final int HEIGHT_PIXELS = 500;
    private static final int WINDOW_S = 3;

    @Override
    public String name() {
        return "plot";
    }

    @Override
    public String help() {
        return "draws the attainment over time of several replay results into one PNG";
    }

    @Override
    public void run(BenchOptions options) {
        XYSeriesCollection collection = new XYSeriesCollection();
        for (String file : options.results()) {
            collection.addSeries(series(read(file)));
        }
        JFreeChart chart = ChartFactory.createXYLineChart(
                options.label(), "send time (s)", "attainment (3 s windows)", collection);
        chart.getXYPlot().getRangeAxis().setRange(0, 1.05);
        try {
            ChartUtils.saveChartAsPNG(Path.of(options.output()).toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static ReplayResult read(String file) {
        try {
            return Json.read(Files.readAllBytes(Path.of(file)), ReplayResult.class);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static XYSeries series(ReplayResult result) {
        XYSeries series = new XYSeries(result.label());
        int seconds = result.sentBySecond().size();
        for (int second = 0; second + WINDOW_S <= seconds; second++) {
            int sent = sum(result.sentBySecond().subList(second, second + WINDOW_S));
            int attained = sum(result.attainedBySecond().subList(second, second + WINDOW_S));
            if (sent > 0) {
                series.add(second + WINDOW_S / 2.0, (double) attained / sent);
            }
        }
        return series;
    }

    private static int sum(List<Integer> values) {
        return values.stream().mapToInt(Integer::intValue).sum();
    }
}
