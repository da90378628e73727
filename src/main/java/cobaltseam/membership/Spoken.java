package cobaltseam.membership;

/** What members tell each other, whichever part of them speaks. */
public interface Spoken {
  Message.Teller from();
}
