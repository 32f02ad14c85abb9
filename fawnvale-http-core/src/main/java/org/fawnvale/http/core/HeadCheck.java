package org.fawnvale.http.core;

/**
 * Checks the lines of heads, one after the other, by the grammar of RFC 9110 and RFC 9112. Lines
 * come without their end marks; a character is a received byte.
 */
public final class HeadCheck {

  private static final String HOST = "host";

  private final FirstLine.Check firstLine;
  private final boolean foldedLinesAllowed;
  private final Framing framing = new Framing();
  private int version;
  private boolean begun;
  private boolean lastMayGoOn;
  private boolean hostRead;

  private HeadCheck(FirstLine.Check firstLine, boolean foldedLinesAllowed) {
    this.firstLine = firstLine;
    this.foldedLinesAllowed = foldedLinesAllowed;
  }

  /**
   * Creates the check of answers. A line that goes on in the next one is an error there: a spoilt
   * name would add the line to the value before it.
   *
   * @return a new check
   */
  public static HeadCheck ofAnswers() {
    return new HeadCheck(FirstLine::ofAnswer, false);
  }

  /**
   * Creates the check of callers' requests, whose values may go on in the next line.
   *
   * @return a new check
   */
  public static HeadCheck ofRequests() {
    return new HeadCheck(FirstLine::ofRequest, true);
  }

  /** Forgets a head that has not ended. */
  public void reset() {
    begun = false;
    lastMayGoOn = false;
    hostRead = false;
    framing.reset();
  }

  /**
   * Checks the next line; an empty one ends the head, or precedes it.
   *
   * @param line the line
   * @throws MalformedMessageException if no head holds such a line there
   */
  public void line(CharSequence line) throws MalformedMessageException {
    if (!begun) {
      begin(line);
    } else if (line.length() == 0) {
      end();
    } else {
      field(line);
    }
  }

  private void begin(CharSequence line) throws MalformedMessageException {
    if (line.length() > 0) {
      version = firstLine.check(line);
      begun = true;
    }
  }

  private void end() throws MalformedMessageException {
    framing.end(version);
    reset();
  }

  private void field(CharSequence line) throws MalformedMessageException {
    if (Characters.isBlank(line.charAt(0))) {
      goOn(line);
      return;
    }
    int colon = FieldLine.check(MalformedMessageException.Part.FIELD, line);
    boolean isHost = FieldLine.hasName(line, colon, HOST);
    if (isHost && hostRead && foldedLinesAllowed) {
      throw invalid(line, "one host");
    }
    hostRead |= isHost;
    lastMayGoOn = !framing.read(line, colon) && !isHost;
  }

  private void goOn(CharSequence line) throws MalformedMessageException {
    if (!foldedLinesAllowed || !lastMayGoOn) {
      throw invalid(line, "a line that begins with a name");
    }
    if (!Characters.areText(line, 0)) {
      throw invalid(line, "a value without control characters");
    }
  }

  private static MalformedMessageException invalid(CharSequence line, String expected) {
    return new MalformedMessageException(MalformedMessageException.Part.FIELD, line, expected);
  }
}
