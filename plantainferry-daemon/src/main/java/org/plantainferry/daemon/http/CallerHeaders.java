package org.plantainferry.daemon.http;

import io.undertow.util.HttpString;

/** Names the HTTP headers of the callers' interface. */
final class CallerHeaders {
    static final HttpString SESSION = new HttpString("Plantainferry-Session");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    static final HttpString DEADLINE_MILLIS = new HttpString("Plantainferry-Deadline-Millis");
    static final HttpString MAXIMUM_AGE_MILLIS = new HttpString("Plantainferry-Maximum-Age-Millis");
    static final HttpString VERDICT = new HttpString("Plantainferry-Verdict");
    static final HttpString INSTANCE = new HttpString("Plantainferry-Instance");

    private CallerHeaders() {}
}
