package org.pimentovale.kernel.stream;

/**
 * Finds the ends of events in a stream of server-sent events (WHATWG HTML, section 9.2), without keeping its bytes.
 *
 * <p>An event consists of non-empty lines and ends with an empty line; a line ends with a line feed, a carriage return,
 * or both. Comment lines, which begin with a colon, belong to no event. Invariant: the memory used does not depend on
 * the input. Not thread safe.
 */
public final class EventStreamParser {
    private int completeEvents;
    private long openEventBytes;
    private boolean insideEvent;
    private boolean atLineStart = true;
    private boolean insideComment;
    private boolean afterCarriageReturn;
    private boolean endsLinesWithBoth;

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes the bytes, which may begin and end within a line
     */
    public void accept(byte[] bytes) {
        for (byte next : bytes) {
            accept(next);
        }
    }

    private void accept(byte next) {
        boolean secondOfLineEnd = afterCarriageReturn && next == '\n';
        afterCarriageReturn = next == '\r';
        if (secondOfLineEnd) {
            endsLinesWithBoth = true;
            return;
        }
        openEventBytes++;
        if (next == '\n' || next == '\r') {
            endLine();
            return;
        }
        if (atLineStart) {
            atLineStart = false;
            insideComment = next == ':';
        }
        insideEvent |= !insideComment;
    }

    private void endLine() {
        boolean emptyLine = atLineStart;
        atLineStart = true;
        insideComment = false;
        if (!emptyLine) {
            return;
        }
        if (insideEvent) {
            completeEvents++;
        }
        insideEvent = false;
        openEventBytes = 0;
    }

    /**
     * Returns the number of complete events.
     *
     * @return the number
     */
    public int completeEvents() {
        return completeEvents;
    }

    /**
     * Tells whether the stream so far ends within an event.
     *
     * @return whether an event has begun that has not ended
     */
    public boolean insideEvent() {
        return insideEvent;
    }

    /**
     * Tells whether the stream so far ends within a block of lines, of which comments are a part too. A block ends with
     * an empty line.
     *
     * @return whether at least one more byte is missing
     */
    public boolean insideBlock() {
        return openEventBytes > 0 || (afterCarriageReturn && endsLinesWithBoth);
    }

    /**
     * Returns the length of the input since the last empty line.
     *
     * @return the number of bytes
     */
    public long openEventBytes() {
        return openEventBytes;
    }
}
