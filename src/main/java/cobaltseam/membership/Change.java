package cobaltseam.membership;

import java.util.List;

/**
 * What the successor of a view differs in: processes taken out, each a certain birth, and processes
 * taken in, and another edition of the agreed document, or null.
 */
public record Change(List<Member> out, List<Member> in, Edition edition) {
  /** Nothing. */
  static final Change NONE = new Change(List.of(), List.of());

  public Change {
    out = List.copyOf(out);
    in = List.copyOf(in);
  }

  public Change(List<Member> out, List<Member> in) {
    this(out, in, null);
  }

  boolean isEmpty() {
    return out.isEmpty() && in.isEmpty() && edition == null;
  }
}
