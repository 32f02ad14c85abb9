package org.fawnvale.json.core;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Parts the list in a JSON text into its elements, which may come from several writers, and reads
 * each element alone. One that is no JSON (RFC 8259) costs itself: it ends where its brackets
 * close, or, if that can't be found, where the next element begins.
 *
 * @param <T> the type of what is read
 */
public final class ListSplitter<T> {

  /** How often the text may be searched in vain for the ends of elements, in whole texts. */
  private static final int MAX_VAIN_SEARCHES = 32;

  /** How many closing brackets are tried as the end of a list whose last element has none. */
  private static final int MAX_LIST_ENDS = 8;

  private static final byte[] EMPTY_LIST_END = {']'};

  private final Set<String> listNames;
  private final Pattern elementBegin;
  private final ElementReader<T> reader;

  /**
   * Creates a splitter.
   *
   * @param listNames the names under which the list stands in an object; empty if the text itself
   *     is the list
   * @param firstNames the names that can stand first in an element, which is an object
   * @param reader reads the elements, and what is around them
   */
  public ListSplitter(Set<String> listNames, Set<String> firstNames, ElementReader<T> reader) {
    this.listNames = Set.copyOf(listNames);
    this.reader = reader;
    String names = firstNames.stream().map(Pattern::quote).collect(Collectors.joining("|"));
    this.elementBegin = Pattern.compile(",\\s*(\\{\\s*\"(?:" + names + ")\"\\s*:)");
  }

  /**
   * Parts a text.
   *
   * @param text the bytes of the text
   * @return its parts
   * @throws IOException if the text holds no such list, or what is around the list is no JSON
   */
  public ListParts<T> split(byte[] text) throws IOException {
    JsonScanner scanner = new JsonScanner(text);
    int begin = listBegin(text, scanner);
    if (begin < 0) {
      throw new IOException("The text holds no list of the names " + listNames + ".");
    }
    Search search = new Search(text, scanner);
    int end = search.run(scanner.skipBlanks(begin + 1));
    T frame = end < 0 ? null : frame(text, begin, end);
    if (frame == null) {
      throw new IOException("What is around the list of the names " + listNames + " is no JSON.");
    }
    return new ListParts<>(frame, search.elements);
  }

  /** Returns the index of the bracket that opens the list; below 0 if there is none. */
  private int listBegin(byte[] text, JsonScanner scanner) {
    int index = scanner.skipBlanks(0);
    if (listNames.isEmpty()) {
      return scanner.isAt(index, '[') ? index : JsonScanner.NO_END;
    }
    boolean inObject = scanner.isAt(index, '{');
    index = scanner.skipBlanks(index + 1);
    while (inObject && scanner.isAt(index, '"')) {
      int nameEnd = scanner.endOfString(index);
      int colon = nameEnd < 0 ? nameEnd : scanner.skipBlanks(nameEnd);
      if (!scanner.isAt(colon, ':')) {
        return JsonScanner.NO_END;
      }
      String name = new String(text, index + 1, nameEnd - index - 2, StandardCharsets.UTF_8);
      int value = scanner.skipBlanks(colon + 1);
      if (listNames.contains(name) && scanner.isAt(value, '[')) {
        return value;
      }
      int end = scanner.endOfValue(value);
      index = end < 0 ? end : scanner.skipBlanks(end);
      inObject = scanner.isAt(index, ',');
      index = scanner.skipBlanks(index + 1);
    }
    return JsonScanner.NO_END;
  }

  /**
   * Reads what is around a list.
   *
   * @param begin the index of the list's opening bracket
   * @param end the index of its closing bracket
   */
  private @Nullable T frame(byte[] text, int begin, int end) {
    ByteArrayOutputStream frame = new ByteArrayOutputStream();
    frame.write(text, 0, begin + 1);
    frame.writeBytes(EMPTY_LIST_END);
    frame.write(text, end + 1, text.length - end - 1);
    return reader.read(frame.toByteArray());
  }

  /** The search for the elements of one list. */
  private final class Search {

    private final byte[] text;
    private final JsonScanner scanner;
    private final List<ListElement<T>> elements = new ArrayList<>();
    private final Matcher begins;
    private long vainBytes;

    Search(byte[] text, JsonScanner scanner) {
      this.text = text;
      this.scanner = scanner;
      // One character for each byte, so that indexes are the same.
      this.begins = elementBegin.matcher(new String(text, StandardCharsets.ISO_8859_1));
    }

    /**
     * Adds the elements.
     *
     * @param from the index behind the list's opening bracket
     * @return the index of the list's closing bracket; below 0 if there is none
     */
    int run(int from) {
      boolean isEmptyButGoesOn = scanner.isAt(from, ']') && !isListEnd(from);
      int index = isEmptyButGoesOn ? JsonScanner.NO_END : from;
      while (index >= 0 && !isListEnd(index)) {
        index = addElement(index);
      }
      return index;
    }

    /** Adds the element at an index; returns the index of the next one, or of the list's end. */
    private int addElement(int from) {
      int end = plainEnd(from);
      @Nullable T value = end < 0 ? null : reader.read(Arrays.copyOfRange(text, from, end));
      int next = value == null ? nextBegin(from) : JsonScanner.NO_END;
      boolean endsPlainly = end >= 0 && (next < 0 || end < next);
      if (endsPlainly) {
        elements.add(new ListElement<>(Arrays.copyOfRange(text, from, end), value));
        int separator = scanner.skipBlanks(end);
        return scanner.isAt(separator, ',') ? scanner.skipBlanks(separator + 1) : separator;
      }
      int cut = next < 0 ? listEnd(from) : next;
      elements.add(new ListElement<>(Arrays.copyOfRange(text, from, Math.max(from, cut)), null));
      return cut;
    }

    /** Returns the index behind an element that a comma or the list's end follows. */
    private int plainEnd(int from) {
      if (vainBytes > (long) MAX_VAIN_SEARCHES * text.length) {
        return JsonScanner.NO_END;
      }
      int end = scanner.endOfValue(from);
      int separator = end < 0 ? end : scanner.skipBlanks(end);
      if (scanner.isAt(separator, ',') || isListEnd(separator)) {
        return end;
      }
      vainBytes += text.length - from;
      return JsonScanner.NO_END;
    }

    /** Returns whether a closing bracket ends the list: what follows it must be JSON, too. */
    private boolean isListEnd(int index) {
      return scanner.isAt(index, ']') && reader.read(tail(index)) != null;
    }

    private int nextBegin(int from) {
      return begins.find(from) ? begins.start(1) : JsonScanner.NO_END;
    }

    /** Returns the last closing bracket behind an index with which the frame can be read. */
    private int listEnd(int from) {
      int index = text.length - 1;
      for (int tried = 0; tried < MAX_LIST_ENDS && index > from; index--) {
        if (isListEnd(index)) {
          return index;
        }
        tried += text[index] == ']' ? 1 : 0;
      }
      return JsonScanner.NO_END;
    }

    /** Returns an object, or a list, that is JSON if what follows a list's end is. */
    private byte[] tail(int end) {
      String head = listNames.isEmpty() ? "[" : "{\"\":[";
      ByteArrayOutputStream tail = new ByteArrayOutputStream();
      tail.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
      tail.write(text, end, text.length - end);
      return tail.toByteArray();
    }
  }
}
