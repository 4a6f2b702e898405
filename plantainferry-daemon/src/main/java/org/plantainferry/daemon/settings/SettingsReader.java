package org.plantainferry.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.json.Json;

/**
 * Reads a settings file and reports all mistakes in one pass.
 *
 * @since 0.1
 */
public final class SettingsReader {
    private static final Pattern IP_NUMBER =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-f:]+]");
    private static final int MAX_PORT = 65_535;
    private static final long DEFAULT_DRAIN_SECONDS = 30;
    private static final long MAX_DRAIN_SECONDS = 3_600;
    private static final long DEFAULT_DEADLINE_MILLIS = 5_000;
    private static final long MAX_DEADLINE_MILLIS = 600_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final List<SettingsError> mErrors = new ArrayList<>();
    private final Path mDirectory;

    private SettingsReader(Path directory) {
        mDirectory = directory;
    }

    /**
     * Reads and checks a file; relative paths in it start at its directory.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} and all mistakes
     */
    public static DaemonSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID, "cannot read " + file + ": " + e, e);
        }
        Path directory = file.toAbsolutePath().getParent();
        return new SettingsReader(directory).parse(text);
    }

    private DaemonSettings parse(String text) {
        JsonNode root = parseObject(text);
        SettingsFile.reportUnknown(root, SettingsFile.PROPERTIES, "", mErrors);
        Optional<InstanceId> instance = readName(root, SettingsFile.INSTANCE, InstanceId::new);
        Optional<FailureDomain> domain =
                readName(root, SettingsFile.FAILURE_DOMAIN, FailureDomain::new);
        String local =
                readMatching(root, SettingsFile.LOCAL_ADDRESS, IP_NUMBER, "must be an IP number");
        Optional<ListenAddress> caller = readAddress(root, SettingsFile.CALLER_LISTENER);
        Optional<ListenAddress> peer = readAddress(root, SettingsFile.PEER_LISTENER);
        Optional<ListenAddress> operator = readAddress(root, SettingsFile.OPERATOR_LISTENER);
        Optional<ListenAddress> store = readAddress(root, SettingsFile.STORE);
        List<Path> secrets = readSecretFiles(root);
        long drainMillis = readDrainMillis(root);
        long deadline = readDeadlineMillis(root);
        boolean json = readChoice(root, SettingsFile.LOG_FORMAT, "plain", "json").equals("json");
        String policy = readChoice(root, SettingsFile.POLICY, "standard", "simple");
        Optional<DaemonSettings.TlsSettings> tls = readTls(root);
        if (!mErrors.isEmpty()) {
            throw new PlantainferryException(ErrorCode.CONFIGURATION_INVALID, describeErrors());
        }
        return new DaemonSettings(
                instance.orElseThrow(),
                domain.orElseThrow(),
                local,
                caller.orElseThrow(),
                peer.orElseThrow(),
                operator.orElseThrow(),
                store.orElseThrow().toString(),
                secrets,
                drainMillis,
                deadline,
                json,
                DaemonSettings.Policy.valueOf(policy.toUpperCase(Locale.ROOT)),
                tls);
    }

    private long readDrainMillis(JsonNode root) {
        long seconds =
                readNumber(
                        root,
                        SettingsFile.DRAIN_SECONDS,
                        0,
                        MAX_DRAIN_SECONDS,
                        DEFAULT_DRAIN_SECONDS);
        return seconds * MILLIS_PER_SECOND;
    }

    private long readDeadlineMillis(JsonNode root) {
        return readNumber(
                root,
                SettingsFile.DEFAULT_DEADLINE_MILLIS,
                1,
                MAX_DEADLINE_MILLIS,
                DEFAULT_DEADLINE_MILLIS);
    }

    private String describeErrors() {
        StringBuilder text = new StringBuilder("the settings have mistakes:");
        mErrors.forEach(mistake -> text.append("\n  ").append(mistake));
        return text.toString();
    }

    private static JsonNode parseObject(String text) {
        try {
            JsonNode root = Json.withComments().readTree(text);
            if (root == null || !root.isObject()) {
                throw new PlantainferryException(
                        ErrorCode.CONFIGURATION_INVALID, "the settings must be a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID,
                    "the settings are not JSON: "
                            + e.getOriginalMessage()
                            + " (line "
                            + e.getLocation().getLineNr()
                            + ")",
                    e);
        }
    }

    private Optional<String> readText(JsonNode object, String name, String prefix) {
        JsonNode node = object.get(name);
        if (node == null) {
            mErrors.add(new SettingsError(prefix + name, "", "is missing"));
            return Optional.empty();
        }
        if (!node.isTextual()) {
            mErrors.add(new SettingsError(prefix + name, node.toString(), "must be a string"));
            return Optional.empty();
        }
        return Optional.of(node.textValue());
    }

    private <T> Optional<T> readName(JsonNode root, String name, Function<String, T> constructor) {
        Optional<String> value = readText(root, name, "");
        if (value.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(constructor.apply(value.get()));
        } catch (PlantainferryException e) {
            mErrors.add(new SettingsError(name, root.get(name).toString(), e.getMessage()));
            return Optional.empty();
        }
    }

    private String readMatching(JsonNode root, String name, Pattern pattern, String reason) {
        Optional<String> value = readText(root, name, "");
        if (value.isPresent() && !pattern.matcher(value.get()).matches()) {
            mErrors.add(new SettingsError(name, root.get(name).toString(), reason));
        }
        return value.orElse("");
    }

    private Optional<ListenAddress> readAddress(JsonNode root, String name) {
        Optional<String> value = readText(root, name, "");
        if (value.isEmpty()) {
            return Optional.empty();
        }
        int colon = value.get().lastIndexOf(':');
        String host = colon < 0 ? "" : value.get().substring(0, colon);
        String port = value.get().substring(colon + 1);
        boolean valid =
                IP_NUMBER.matcher(host).matches()
                        && port.matches("[0-9]{1,5}")
                        && Integer.parseInt(port) >= 1
                        && Integer.parseInt(port) <= MAX_PORT;
        if (!valid) {
            mErrors.add(new SettingsError(name, root.get(name).toString(), "must be IP:PORT"));
            return Optional.empty();
        }
        return Optional.of(new ListenAddress(host, Integer.parseInt(port)));
    }

    private long readNumber(JsonNode root, String name, long least, long most, long absent) {
        JsonNode node = root.get(name);
        if (node == null) {
            return absent;
        }
        if (!node.isIntegralNumber() || node.longValue() < least || node.longValue() > most) {
            mErrors.add(
                    new SettingsError(
                            name,
                            node.toString(),
                            "must be a whole number from " + least + " to " + most));
            return absent;
        }
        return node.longValue();
    }

    private String readChoice(JsonNode root, String name, String absent, String other) {
        JsonNode node = root.get(name);
        if (node == null) {
            return absent;
        }
        String value = node.asText();
        if (!value.equals(absent) && !value.equals(other)) {
            mErrors.add(
                    new SettingsError(
                            name,
                            node.toString(),
                            "must be \"" + absent + "\" or \"" + other + "\""));
        }
        return value;
    }

    private List<Path> readSecretFiles(JsonNode root) {
        JsonNode node = root.get(SettingsFile.SESSION_SECRET_FILES);
        List<Path> files = new ArrayList<>();
        if (node == null || !node.isArray() || node.isEmpty()) {
            mErrors.add(
                    new SettingsError(
                            SettingsFile.SESSION_SECRET_FILES,
                            node == null ? "" : node.toString(),
                            "must name at least one file"));
            return files;
        }
        for (int index = 0; index < node.size(); index++) {
            String place = SettingsFile.SESSION_SECRET_FILES + "[" + index + "]";
            readFilePath(place, node.get(index)).ifPresent(files::add);
        }
        return files;
    }

    private Optional<Path> readFilePath(String place, JsonNode node) {
        if (!node.isTextual()) {
            mErrors.add(new SettingsError(place, node.toString(), "must be a string"));
            return Optional.empty();
        }
        Path file = mDirectory.resolve(node.textValue());
        if (!Files.isReadable(file)) {
            mErrors.add(new SettingsError(place, node.toString(), "is not a readable file"));
            return Optional.empty();
        }
        return Optional.of(file);
    }

    private Optional<DaemonSettings.TlsSettings> readTls(JsonNode root) {
        JsonNode node = root.get(SettingsFile.TLS);
        if (node == null) {
            return Optional.empty();
        }
        String prefix = SettingsFile.TLS + ".";
        if (!node.isObject()) {
            mErrors.add(new SettingsError(SettingsFile.TLS, node.toString(), "must be an object"));
            return Optional.empty();
        }
        SettingsFile.reportUnknown(node, SettingsFile.TLS_PROPERTIES, prefix, mErrors);
        Optional<Path> certificate = readTlsFile(node, SettingsFile.CERTIFICATE_FILE, prefix);
        Optional<Path> trust = readTlsFile(node, SettingsFile.TRUST_FILE, prefix);
        Optional<Path> key = readTlsFile(node, SettingsFile.KEY_FILE, prefix);
        if (certificate.isEmpty() || trust.isEmpty() || key.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new DaemonSettings.TlsSettings(certificate.get(), key.get(), trust.get()));
    }

    private Optional<Path> readTlsFile(JsonNode node, String name, String prefix) {
        return readText(node, name, prefix)
                .flatMap(value -> readFilePath(prefix + name, node.get(name)));
    }
}
