package org.plantainferry.verification.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a Java program as a process of its own, so that its processor time can be told apart. */
final class ChildProcess implements AutoCloseable {
    private static final Pattern USED_HEAP = Pattern.compile("used (\\d+)K");
    private static final long EXIT_TIMEOUT_SECONDS = 5;

    private final Process mProcess;

    ChildProcess(String memory, Path log, Class<?> program, String... arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(jdkTool("java"));
        command.add("-Xmx" + memory);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(program.getName());
        command.addAll(List.of(arguments));
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
    }

    private static String jdkTool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }

    /** Returns the processor time used so far, in seconds. */
    double cpuSeconds() {
        return mProcess.toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
    }

    /** Returns the bytes of the heap in use after a collection. */
    long usedHeapBytes() throws IOException, InterruptedException {
        runJcmd("GC.run");
        Matcher used = USED_HEAP.matcher(runJcmd("GC.heap_info"));
        if (!used.find()) {
            throw new IOException("jcmd does not tell the heap in use");
        }
        return Long.parseLong(used.group(1)) * 1024;
    }

    /** Returns the resident memory in bytes. */
    long residentBytes() throws IOException {
        for (String line :
                Files.readAllLines(Path.of("/proc", Long.toString(mProcess.pid()), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
            }
        }
        return 0;
    }

    private String runJcmd(String request) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(jdkTool("jcmd"), Long.toString(mProcess.pid()), request)
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return output;
    }

    @Override
    public void close() {
        mProcess.destroy();
        try {
            if (!mProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                mProcess.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            mProcess.destroyForcibly();
        }
    }
}
