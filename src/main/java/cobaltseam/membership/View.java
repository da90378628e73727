package cobaltseam.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * A numbered set of members, agreed by a majority of its predecessor; sorted by name, each name
 * once; and the edition of the agreed document, or null before the first.
 */
public record View(ViewId id, List<Member> members, ConfigurationVersion configuration) {
  public View {
    members = List.copyOf(members);
  }

  static View of(ViewId id, Collection<Member> members) {
    return of(id, members, null);
  }

  static View of(ViewId id, Collection<Member> members, ConfigurationVersion edition) {
    TreeMap<MemberName, Member> sorted = new TreeMap<>();
    members.forEach(m -> sorted.put(m.name(), m));
    return new View(id, List.copyOf(sorted.values()), edition);
  }

  public int majority() {
    return members.size() / 2 + 1;
  }

  /** The process that the view holds under this name, or null. */
  public Member of(MemberName name) {
    int from = 0;
    int to = members.size() - 1;
    while (from <= to) {
      int mid = (from + to) >>> 1;
      int order = members.get(mid).name().compareTo(name);
      if (order == 0) {
        return members.get(mid);
      }
      from = order < 0 ? mid + 1 : from;
      to = order < 0 ? to : mid - 1;
    }
    return null;
  }

  /** Whether it holds this very process. */
  public boolean contains(MemberName name, Incarnation birth) {
    Member there = of(name);
    return there != null && there.incarnation().equals(birth);
  }

  /** What follows from a change; what it takes out and this view does not hold changes nothing. */
  View apply(ViewDelta change) {
    List<Member> left = new ArrayList<>(members);
    left.removeIf(
        m ->
            change.removed().stream()
                .anyMatch(
                    o -> o.name().equals(m.name()) && o.incarnation().equals(m.incarnation())));
    left.addAll(change.added());
    return of(
        id.next(), left, change.configuration() == null ? configuration : change.configuration());
  }
}
