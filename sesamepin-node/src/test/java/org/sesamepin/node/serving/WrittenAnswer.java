package org.sesamepin.node.serving;

/**
 * An answer that a target writes.
 *
 * @param mark signature; names the answer
 */
record WrittenAnswer(String id, int status, String mark, String body) {
    String text(boolean withId) {
        return RawTarget.response(
                status, (withId ? "Id: " + id + "|" : "") + "Signed: 1|Mark: " + mark, body);
    }

    static WrittenAnswer of(String id, int status, String variant) {
        String name = id + "-" + status + "-" + variant;
        return new WrittenAnswer(id, status, "m-" + name, "body of " + name);
    }

    /** Returns the text of the answer in two chunks. */
    String chunkedText(int cut) {
        String chunks =
                Integer.toHexString(cut)
                        + "\r\n"
                        + body.substring(0, cut)
                        + "\r\n"
                        + Integer.toHexString(body.length() - cut)
                        + "\r\n"
                        + body.substring(cut)
                        + "\r\n";
        return text(true)
                        .replace("Content-Length: " + body.length(), "Transfer-Encoding: chunked")
                        .replace(body, chunks)
                + RawTarget.lastChunk();
    }
}
