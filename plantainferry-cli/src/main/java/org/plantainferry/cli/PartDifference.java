package org.plantainferry.cli;

/**
 * Describes how one part of the configuration differs between two versions.
 *
 * @param kind the kind of the difference: {@code added}, {@code changed} or {@code withdrawn}
 * @param part the kind of the part, such as {@code workspace}
 * @param name the name of the part; for a key, {@code WORKSPACE/KEY_ID}
 * @param detail the content of an added part, or the changed fields of a changed part; empty for a
 *     withdrawn part and for a key
 */
record PartDifference(String kind, String part, String name, String detail) {
    /** Returns the difference as a line that begins with {@code +}, {@code -} or {@code ~}. */
    String toLine() {
        String sign = kind.equals("added") ? "+" : kind.equals("withdrawn") ? "-" : "~";
        return (sign + " " + part + " " + name + " " + detail).stripTrailing();
    }
}
