package cobaltseam.membership;

import java.util.List;

/** What the successor of a view differs in: processes taken out, each a certain birth, and processes taken in. */
public record Change(List<Member> out, List<Member> in) {
    public Change {
        out = List.copyOf(out);
        in = List.copyOf(in);
    }

    boolean isEmpty() {
        return out.isEmpty() && in.isEmpty();
    }
}
