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

/** Results as SVG. */
final class Charts {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 480;

  private Charts() {}

  /** One figure over what was swept, a line a policy, the mean of seeds at each point. */
  static void sweep(
      Path file,
      String title,
      String figure,
      String what,
      List<ResultsFile.RunResult> rows,
      ToDoubleFunction<ResultsFile.RunResult> of)
      throws IOException {
    XYSeriesCollection lines = new XYSeriesCollection();
    Map<String, List<ResultsFile.RunResult>> policies =
        rows.stream()
            .collect(
                Collectors.groupingBy(
                    ResultsFile.RunResult::policy, TreeMap::new, Collectors.toList()));
    policies.forEach(
        (policy, its) -> {
          XYSeries line = new XYSeries(policy);
          its.stream()
              .collect(
                  Collectors.groupingBy(
                      ResultsFile.RunResult::value, TreeMap::new, Collectors.averagingDouble(of)))
              .forEach(line::add);
          lines.addSeries(line);
        });
    write(file, ChartFactory.createXYLineChart(title, figure, what, lines));
  }

  /** Benefit offered and got by second, with the time of each fault shaded. */
  static void series(Path file, String title, List<double[]> seconds, List<Fault> faults)
      throws IOException {
    XYSeries offered = new XYSeries("offered");
    XYSeries got = new XYSeries("got");
    for (int s = 0; s < seconds.size(); s++) {
      offered.add(s, seconds.get(s)[0]);
      got.add(s, seconds.get(s)[1]);
    }
    XYSeriesCollection lines = new XYSeriesCollection();
    lines.addSeries(offered);
    lines.addSeries(got);
    JFreeChart chart = ChartFactory.createXYLineChart(title, "second asked", "benefit", lines);
    for (Fault f : faults) {
      IntervalMarker mark =
          new IntervalMarker(f.atS(), f.atS() + f.lengthS(), new Color(255, 120, 0, 40));
      mark.setLabel(f.kind().label());
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
    SVGGraphics2D to = new SVGGraphics2D(WIDTH, HEIGHT);
    chart.draw(to, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    Files.writeString(file, to.getSVGElement());
  }
}
