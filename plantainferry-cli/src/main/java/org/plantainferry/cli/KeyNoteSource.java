package org.plantainferry.cli;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.configuration.WithdrawnParts;

/**
 * Generates the release notes of the key commands.
 *
 * <p>Such a note has the same meaning against any version. It is therefore generated against the
 * current version, so that a concurrent change by another operator leads to a retry instead of a
 * conflict that the operator must decide.
 */
abstract class KeyNoteSource implements ReleaseNoteSource {
    private static final int RANDOM_BYTES = 8;
    private static final int MAX_KEY_ID_CHARACTERS = 32;

    private final String mNoteId;

    KeyNoteSource(String verb, String keyId, SecureRandom random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        // Identifiers of notes and of keys have at most 64 characters, so the latter is shortened.
        String shortKeyId = keyId.substring(0, Math.min(MAX_KEY_ID_CHARACTERS, keyId.length()));
        mNoteId = verb + "-" + shortKeyId + "-" + HexFormat.of().formatHex(bytes);
    }

    @Override
    public final String noteId() {
        return mNoteId;
    }

    @Override
    public final ReleaseNote noteFor(Configuration configuration) {
        return new ReleaseNote(mNoteId, configuration.version(), added(), null, withdrawn());
    }

    ConfigurationParts added() {
        return ConfigurationParts.EMPTY;
    }

    WithdrawnParts withdrawn() {
        return WithdrawnParts.NONE;
    }
}
