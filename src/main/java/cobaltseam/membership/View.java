package cobaltseam.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * A numbered set of members, chosen by a majority of the previous view.
 *
 * @param members the members, sorted by name; no name occurs twice
 * @param configuration the version of the agreed configuration, or null before the first version
 */
public record View(ViewId id, List<Member> members, ConfigurationVersion configuration) {
  /** Copies the members. */
  public View {
    members = List.copyOf(members);
  }

  static View of(ViewId id, Collection<Member> members) {
    return of(id, members, null);
  }

  static View of(ViewId id, Collection<Member> members, ConfigurationVersion configuration) {
    TreeMap<MemberName, Member> sorted = new TreeMap<>();
    members.forEach(m -> sorted.put(m.name(), m));
    return new View(id, List.copyOf(sorted.values()), configuration);
  }

  /** The number of members that make up a majority. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** The member with this name, or null. */
  public Member memberNamed(MemberName name) {
    int from = 0;
    int until = members.size() - 1;
    while (from <= until) {
      int middle = (from + until) >>> 1;
      int order = members.get(middle).name().compareTo(name);
      if (order == 0) {
        return members.get(middle);
      }
      from = order < 0 ? middle + 1 : from;
      until = order < 0 ? until : middle - 1;
    }
    return null;
  }

  /** Whether the view contains the member with this name under this incarnation. */
  public boolean contains(MemberName name, Incarnation incarnation) {
    Member member = memberNamed(name);
    return member != null && member.incarnation().equals(incarnation);
  }

  /**
   * The view that follows from this one by a change. The removal of a process that is not a member
   * has no effect.
   */
  View apply(ViewDelta change) {
    List<Member> remaining = new ArrayList<>(members);
    remaining.removeIf(
        m ->
            change.removed().stream()
                .anyMatch(
                    r -> r.name().equals(m.name()) && r.incarnation().equals(m.incarnation())));
    remaining.addAll(change.added());
    return of(
        id.next(),
        remaining,
        change.configuration() == null ? configuration : change.configuration());
  }
}
