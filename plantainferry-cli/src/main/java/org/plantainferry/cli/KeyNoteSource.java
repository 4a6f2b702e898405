package org.plantainferry.cli;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.configuration.WithdrawnParts;

/**
 * Writes the release notes of the key commands.
 *
 * <p>Such a note means the same against any version, so it is written against the version in force;
 * a race with another operator then needs no decision by anybody.
 */
abstract class KeyNoteSource implements ReleaseNoteSource {
    private static final int RANDOM_BYTES = 8;
    private static final int MAX_KEY_ID_CHARACTERS = 32;

    private final String mNoteId;

    KeyNoteSource(String verb, String keyId, SecureRandom random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        // The identifier of a note has at most 64 characters, and so has that of a key.
        String shown = keyId.substring(0, Math.min(MAX_KEY_ID_CHARACTERS, keyId.length()));
        mNoteId = verb + "-" + shown + "-" + HexFormat.of().formatHex(bytes);
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
