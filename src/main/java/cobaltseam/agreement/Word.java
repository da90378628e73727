package cobaltseam.agreement;

import cobaltseam.membership.Edition;
import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Spoken;
import java.util.Objects;

/**
 * What members tell each other of the agreed document. The teller's view says which edition it
 * holds.
 */
public sealed interface Word extends Spoken {
  /**
   * An edition that the teller would have the next view hold; to be fetched, checked and answered.
   */
  record Offer(Teller from, Edition edition, int size) implements Word {
    public Offer {
      Objects.requireNonNull(from);
      Objects.requireNonNull(edition);
    }
  }

  /** The answer to an offer: null if the edition can be acted on here, else why not. */
  record Checked(Teller from, Edition edition, String why) implements Word {
    public Checked {
      Objects.requireNonNull(from);
      Objects.requireNonNull(edition);
    }
  }

  /** Asks for a document's bytes from an index on. */
  record Want(Teller from, String hash, int index) implements Word {
    public Want {
      Objects.requireNonNull(from);
      Objects.requireNonNull(hash);
    }
  }

  /** Bytes of a document from an index on. */
  record Piece(Teller from, String hash, int index, int size, byte[] bytes) implements Word {
    public Piece {
      Objects.requireNonNull(from);
      Objects.requireNonNull(hash);
      Objects.requireNonNull(bytes);
    }
  }
}
