package cobaltseam.emulator;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Writes charts of results as SVG files. */
final class Charts {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 480;

  private Charts() {}

  /**
   * Charts a metric over the values of the varied parameter: one line per policy, and the mean over
   * all seeds at each point.
   */
  static void sweep(
      Path file,
      String title,
      String parameter,
      String metricName,
      List<ResultsFile.RunResult> rows,
      ToDoubleFunction<ResultsFile.RunResult> metric)
      throws IOException {
    XYSeriesCollection lines = new XYSeriesCollection();
    Map<String, List<ResultsFile.RunResult>> policies =
        rows.stream()
            .collect(
                Collectors.groupingBy(
                    ResultsFile.RunResult::policy, TreeMap::new, Collectors.toList()));
    policies.forEach(
        (policy, results) -> {
          XYSeries line = new XYSeries(policy);
          results.stream()
              .collect(
                  Collectors.groupingBy(
                      ResultsFile.RunResult::value,
                      TreeMap::new,
                      Collectors.averagingDouble(metric)))
              .forEach(line::add);
          lines.addSeries(line);
        });
    write(file, ChartFactory.createXYLineChart(title, parameter, metricName, lines));
  }

  /** Charts the priority weight offered and served by second, with the faults shaded. */
  static void series(Path file, String title, List<double[]> seconds, List<Fault> faults)
      throws IOException {
    XYSeries offered = new XYSeries("offered");
    XYSeries served = new XYSeries("got");
    for (int s = 0; s < seconds.size(); s++) {
      offered.add(s, seconds.get(s)[0]);
      served.add(s, seconds.get(s)[1]);
    }
    XYSeriesCollection lines = new XYSeriesCollection();
    lines.addSeries(offered);
    lines.addSeries(served);
    JFreeChart chart = ChartFactory.createXYLineChart(title, "second asked", "benefit", lines);
    for (Fault fault : faults) {
      IntervalMarker mark =
          new IntervalMarker(
              fault.atS(), fault.atS() + fault.lengthS(), new Color(255, 120, 0, 40));
      mark.setLabel(fault.kind().label());
      ((XYPlot) chart.getPlot()).addDomainMarker(mark);
    }
    write(file, chart);
  }

  private static void write(Path file, JFreeChart chart) throws IOException {
    XYPlot plot = (XYPlot) chart.getPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    for (int i = 0; i < plot.getSeriesCount(); i++) {
      plot.getRenderer().setSeriesStroke(i, new BasicStroke(2));
    }
    SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, HEIGHT);
    chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    Files.writeString(file, graphics.getSVGElement());
  }
}
