package org.fawnvale.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.Result;

/** Reads the files given on the command line. */
final class Files {

  private Files() {}

  static Result<String> read(String file) {
    try {
      return Result.success(java.nio.file.Files.readString(Path.of(file)));
    } catch (IOException e) {
      return Result.failure(
          Problem.invalid(
              "file", file, "The file cannot be read.", "Give the path of a readable text file."));
    }
  }
}
