package org.plantainferry.engine.configuration;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.Workspace;

/** Determines the keys that are withdrawn between two configurations. */
final class WithdrawnKeys {
    private static final Comparator<KeyReference> ORDER =
            Comparator.comparing(KeyReference::workspace).thenComparing(KeyReference::keyId);

    private WithdrawnKeys() {}

    /** Returns the keys that were removed or whose identifier now belongs to another secret. */
    static Set<KeyReference> between(Configuration from, Configuration to) {
        Map<KeyReference, String> before = hashes(from);
        Map<KeyReference, String> after = hashes(to);
        Set<KeyReference> withdrawn = new TreeSet<>(ORDER);
        before.forEach(
                (key, hash) -> {
                    if (!hash.equals(after.get(key))) {
                        withdrawn.add(key);
                    }
                });
        return withdrawn;
    }

    private static Map<KeyReference, String> hashes(Configuration configuration) {
        Map<KeyReference, String> hashes = new HashMap<>();
        for (Workspace workspace : configuration.parts().workspaces()) {
            for (CallerKey key : workspace.keys()) {
                hashes.put(new KeyReference(workspace.name(), key.id()), key.sha256());
            }
        }
        return hashes;
    }
}
