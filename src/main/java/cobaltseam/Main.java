package cobaltseam;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

import cobaltseam.adapter.Adapter;
import cobaltseam.deployment.BadInput;
import cobaltseam.service.Service;

/** The command line: its one word names what to do. */
public final class Main {
    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    private Main() {
    }

    public static void main(String[] args) throws InterruptedException {
        System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
        String word = args.length == 1 ? args[0] : "";
        try {
            switch (word) {
                case "adapter" -> new Adapter().run(new FileInputStream(FileDescriptor.in),
                        new FileOutputStream(FileDescriptor.out));
                case "serve" -> Service.run();
                case "rehearse" -> Service.rehearse();
                default -> {
                    System.err.println("usage: java -jar cobaltseam.jar adapter|serve|rehearse");
                    System.exit(2);
                }
            }
        } catch (BadInput | IOException e) {
            System.err.println("cobaltseam: " + e.getMessage());
            System.exit(1);
        }
    }
}
