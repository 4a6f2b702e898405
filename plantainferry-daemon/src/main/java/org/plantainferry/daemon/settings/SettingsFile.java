package org.plantainferry.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;

/** Names the properties of the settings file. */
final class SettingsFile {
    static final String INSTANCE = "instance";
    static final String FAILURE_DOMAIN = "failureDomain";
    static final String LOCAL_ADDRESS = "localAddress";
    static final String CALLER_LISTENER = "callerListener";
    static final String PEER_LISTENER = "peerListener";
    static final String OPERATOR_LISTENER = "operatorListener";
    static final String STORE = "store";
    static final String SESSION_SECRET_FILES = "sessionSecretFiles";
    static final String DRAIN_SECONDS = "drainSeconds";
    static final String DEFAULT_DEADLINE_MILLIS = "defaultDeadlineMillis";
    static final String LOG_FORMAT = "logFormat";
    static final String POLICY = "policy";
    static final String TLS = "tls";
    static final String CERTIFICATE_FILE = "certificateFile";
    static final String TRUST_FILE = "trustFile";
    static final String KEY_FILE = "keyFile";

    static final Set<String> PROPERTIES =
            Set.of(
                    INSTANCE,
                    FAILURE_DOMAIN,
                    LOCAL_ADDRESS,
                    CALLER_LISTENER,
                    PEER_LISTENER,
                    OPERATOR_LISTENER,
                    STORE,
                    SESSION_SECRET_FILES,
                    DRAIN_SECONDS,
                    DEFAULT_DEADLINE_MILLIS,
                    LOG_FORMAT,
                    POLICY,
                    TLS);

    static final Set<String> TLS_PROPERTIES = Set.of(CERTIFICATE_FILE, TRUST_FILE, KEY_FILE);

    private SettingsFile() {}

    static void reportUnknown(
            JsonNode object, Set<String> known, String prefix, List<SettingsError> mistakes) {
        object.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!known.contains(name)) {
                                mistakes.add(
                                        new SettingsError(
                                                prefix + name,
                                                object.get(name).toString(),
                                                "no such setting"));
                            }
                        });
    }
}
