package cobaltseam;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

import cobaltseam.adapter.Adapter;
import cobaltseam.adapter.BadInput;

/** The command line: its one word names the wire to speak. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar cobaltseam.jar adapter");
            System.exit(2);
        }
        try {
            new Adapter().run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
        } catch (BadInput | IOException e) {
            System.err.println("cobaltseam: " + e.getMessage());
            System.exit(1);
        }
    }
}
